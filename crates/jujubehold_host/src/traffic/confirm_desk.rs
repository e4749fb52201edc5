//! Questions to instances that stand behind acknowledgements.
//!
//! The questions of all sessions to one instance go over one connection, one at a time, each for
//! the highest position that is waited for; see docs/notes/write-path.md.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use jujubehold_core::acknowledgement::ReplicaAnswer;
use jujubehold_core::prelude::*;
use jujubehold_pg::query;
use tokio::sync::{mpsc, oneshot};

use super::lane::Lane;
use super::status_answer::read_status;
use crate::observation::Observation;
use crate::shared::Shared;

/// How long an instance is asked to wait for a position before it answers all the same.
const WAIT: Duration = Duration::from_millis(100);
/// How long an answer may take beyond that.
const ANSWER_LIMIT: Duration = Duration::from_millis(300);
/// How long a connection is kept for the next question.
const KEEP: Duration = Duration::from_secs(1);
/// How long a connection is kept in all, so that a leaving owner gets back what it lent.
const LONGEST_USE: Duration = Duration::from_secs(1);
/// How old the control thread's last word of an instance may be before it is told a new one.
const REPORT_AGE: Duration = Duration::from_millis(500);
/// The pause after a failure.
const PAUSE: Duration = Duration::from_millis(20);

/// The queues of questions, by service and instance.
#[derive(Debug, Default)]
pub struct ConfirmDesk {
    queues: Mutex<BTreeMap<(ServiceId, InstanceId), mpsc::UnboundedSender<Question>>>,
    refreshed: Mutex<BTreeMap<ServiceId, Monotonic>>,
}

#[derive(Debug)]
struct Question {
    term: Term,
    position: Position,
    reply: oneshot::Sender<ReplicaAnswer>,
}

/// Asks `instance` for its status once it has received `position` of `term`.
///
/// The reply is dropped when the instance gives no answer.
pub(crate) fn ask(
    shared: &Arc<Shared>,
    service: &ServiceId,
    instance: &InstanceId,
    term: Term,
    position: Position,
) -> oneshot::Receiver<ReplicaAnswer> {
    let (reply, receiver) = oneshot::channel();
    let mut question = Question {
        term,
        position,
        reply,
    };
    let key = (service.clone(), instance.clone());
    let mut queues = shared
        .confirms
        .queues
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if let Some(queue) = queues.get(&key) {
        match queue.send(question) {
            Ok(()) => return receiver,
            Err(rejected) => question = rejected.0,
        }
    }
    let (queue, questions) = mpsc::unbounded_channel();
    // The receiver is at hand, so the queue takes the question.
    let _ = queue.send(question);
    queues.insert(key.clone(), queue);
    let (service, instance) = key;
    actix_rt::spawn(answer_questions(
        shared.clone(),
        service,
        instance,
        questions,
    ));
    receiver
}

/// Asks `primary` for its position aside and tells the control thread, unless that was done within
/// `spacing`.
pub(crate) fn refresh(
    shared: &Arc<Shared>,
    service: &ServiceId,
    primary: &InstanceId,
    term: Term,
    spacing: Duration,
) {
    let now = shared.clock.now();
    if !shared.confirms.is_refresh_due(service, now, spacing) {
        return;
    }
    let answer = ask(shared, service, primary, term, 0);
    let (shared, service) = (shared.clone(), service.clone());
    actix_rt::spawn(async move {
        if let Ok(ReplicaAnswer { asked_at, status }) = answer.await {
            report(&shared, &service, asked_at, &status);
        }
    });
}

impl ConfirmDesk {
    fn is_refresh_due(&self, service: &ServiceId, now: Monotonic, spacing: Duration) -> bool {
        let mut refreshed = self
            .refreshed
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match refreshed.get_mut(service) {
            Some(at) if now.saturating_sub(*at) < spacing => false,
            Some(at) => {
                *at = now;
                true
            }
            None => {
                refreshed.insert(service.clone(), now);
                true
            }
        }
    }
}

fn report(shared: &Shared, service: &ServiceId, asked_at: Monotonic, status: &InstanceStatus) {
    // The control thread ends only with the host.
    let _ = shared.observations.send(Observation::Status {
        service: service.clone(),
        sent_at: asked_at,
        status: status.clone(),
    });
}

async fn answer_questions(
    shared: Arc<Shared>,
    service: ServiceId,
    instance: InstanceId,
    mut questions: mpsc::UnboundedReceiver<Question>,
) {
    let mut kept: Option<KeptLane> = None;
    loop {
        let first = match tokio::time::timeout(KEEP, questions.recv()).await {
            Ok(Some(question)) => question,
            Ok(None) => return,
            Err(_) => {
                if let Some(idle) = kept.take() {
                    idle.finish();
                }
                match questions.recv().await {
                    Some(question) => question,
                    None => return,
                }
            }
        };
        let mut batch = vec![first];
        while let Ok(question) = questions.try_recv() {
            batch.push(question);
        }
        let taken = kept.take();
        let limit = WAIT + ANSWER_LIMIT;
        let answered =
            tokio::time::timeout(limit, ask_once(&shared, &service, &instance, taken, &batch));
        if let Ok(Some((used, answer))) = answered.await {
            kept = used.keep_if_new();
            for question in batch {
                // A session that has ended needs no answer.
                let _ = question.reply.send(answer.clone());
            }
        } else {
            drop(batch);
            tokio::time::sleep(PAUSE).await;
        }
    }
}

/// A connection between two questions.
#[derive(Debug)]
struct KeptLane {
    lane: Lane,
    opened_at: Instant,
}

impl KeptLane {
    /// Gives the connection back once it was used for long.
    fn keep_if_new(self) -> Option<Self> {
        if self.opened_at.elapsed() < LONGEST_USE {
            return Some(self);
        }
        self.finish();
        None
    }

    fn finish(self) {
        self.lane.finish(true);
    }
}

/// Whether the control thread has had no word of an instance for a while.
fn is_news(shared: &Shared, service: &ServiceId, instance: &InstanceId) -> bool {
    let route = shared.route(service);
    let sample = route
        .as_ref()
        .and_then(|route| route.view.samples.get(instance));
    let now = shared.clock.now();
    sample.is_none_or(|sample| now.saturating_sub(sample.sent_at) >= REPORT_AGE)
}

async fn ask_once(
    shared: &Shared,
    service: &ServiceId,
    instance: &InstanceId,
    kept: Option<KeptLane>,
    batch: &[Question],
) -> Option<(KeptLane, ReplicaAnswer)> {
    let mut used = if let Some(kept) = kept {
        kept
    } else {
        let route = shared.route(service)?;
        let lane = Lane::open(shared, &route, instance, ANSWER_LIMIT)
            .await
            .ok()?;
        let opened_at = Instant::now();
        KeptLane { lane, opened_at }
    };
    let (term, position) = batch
        .iter()
        .map(|question| (question.term, question.position))
        .max()?;
    let sql = if position == 0 {
        "SELECT group_status()".to_owned()
    } else {
        format!(
            "SELECT group_wait({term}, {position}, {})",
            WAIT.as_millis()
        )
    };
    let asked_at = shared.clock.now();
    used.lane.send(query(&sql).bytes()).await.ok()?;
    let status = read_status(&mut used.lane).await.ok()??;
    if status.fence_term > term || status.term > term || is_news(shared, service, instance) {
        report(shared, service, asked_at, &status);
    }
    Some((used, ReplicaAnswer { asked_at, status }))
}
