//! Queries instances for their status, as acknowledgements and reads require.
//!
//! The queries of all sessions to one instance share one connection. They are sent one at a time,
//! each for the highest position that any session waits for; see docs/notes/write-path.md.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use jujubehold_core::acknowledgement::ReplicaAnswer;
use jujubehold_core::prelude::*;
use jujubehold_pg::query;
use tokio::sync::{mpsc, oneshot};

use super::checked_out_connection::CheckedOutConnection;
use super::status_answer::read_status;
use crate::observation::Observation;
use crate::shared::Shared;

/// How long an instance waits for a position before it answers without having reached it.
const POSITION_WAIT: Duration = Duration::from_millis(100);
/// How long an answer may take in addition to that.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(300);
/// How long an idle connection is kept for the next query.
const IDLE_TIMEOUT: Duration = Duration::from_secs(1);
/// How long a connection is used in total, so that a leaving owner gets back the connections that
/// it lent.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(1);
/// How old the control thread's sample of an instance must be for a new status to be reported.
const MIN_REPORT_AGE: Duration = Duration::from_millis(500);
/// The delay after a failed query.
const FAILURE_DELAY: Duration = Duration::from_millis(20);

/// The queues of status queries by service and instance.
#[derive(Debug, Default)]
pub struct StatusQueries {
    queues: Mutex<BTreeMap<(ServiceId, InstanceId), mpsc::UnboundedSender<StatusQuery>>>,
    // When `refresh_primary_position` last sampled each service's primary.
    refreshed_at: Mutex<BTreeMap<ServiceId, Monotonic>>,
}

#[derive(Debug)]
struct StatusQuery {
    term: Term,
    position: Position,
    reply: oneshot::Sender<ReplicaAnswer>,
}

/// Queries the status of `instance` once it has received `position` of `term`; position 0
/// requests the current status.
///
/// The reply's sender is dropped if the instance does not answer.
pub(crate) fn query_status(
    shared: &Arc<Shared>,
    service: &ServiceId,
    instance: &InstanceId,
    term: Term,
    position: Position,
) -> oneshot::Receiver<ReplicaAnswer> {
    let (reply, receiver) = oneshot::channel();
    let mut query = StatusQuery {
        term,
        position,
        reply,
    };
    let key = (service.clone(), instance.clone());
    let mut queues = shared
        .status_queries
        .queues
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    if let Some(queue) = queues.get(&key) {
        match queue.send(query) {
            Ok(()) => return receiver,
            Err(rejected) => query = rejected.0,
        }
    }
    let (queue, queries) = mpsc::unbounded_channel();
    // The receiver exists, so sending can't fail.
    let _ = queue.send(query);
    queues.insert(key.clone(), queue);
    let (service, instance) = key;
    actix_rt::spawn(serve_queries(shared.clone(), service, instance, queries));
    receiver
}

/// Samples the position of `primary` in the background and reports it to the control thread, unless
/// that was done within `interval`.
pub(crate) fn refresh_primary_position(
    shared: &Arc<Shared>,
    service: &ServiceId,
    primary: &InstanceId,
    term: Term,
    interval: Duration,
) {
    let now = shared.clock.now();
    if !shared.status_queries.is_refresh_due(service, now, interval) {
        return;
    }
    let answer = query_status(shared, service, primary, term, 0);
    let (shared, service) = (shared.clone(), service.clone());
    actix_rt::spawn(async move {
        if let Ok(ReplicaAnswer { sent_at, status }) = answer.await {
            report(&shared, &service, sent_at, &status);
        }
    });
}

impl StatusQueries {
    fn is_refresh_due(&self, service: &ServiceId, now: Monotonic, interval: Duration) -> bool {
        let mut refreshed_at = self
            .refreshed_at
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        match refreshed_at.get_mut(service) {
            Some(at) if now.saturating_sub(*at) < interval => false,
            Some(at) => {
                *at = now;
                true
            }
            None => {
                refreshed_at.insert(service.clone(), now);
                true
            }
        }
    }
}

fn report(shared: &Shared, service: &ServiceId, sent_at: Monotonic, status: &InstanceStatus) {
    // The control thread ends only with the host.
    let _ = shared.observations.send(Observation::Status {
        service: service.clone(),
        sent_at,
        status: status.clone(),
    });
}

async fn serve_queries(
    shared: Arc<Shared>,
    service: ServiceId,
    instance: InstanceId,
    mut queries: mpsc::UnboundedReceiver<StatusQuery>,
) {
    let mut kept: Option<KeptConnection> = None;
    loop {
        let first = match tokio::time::timeout(IDLE_TIMEOUT, queries.recv()).await {
            Ok(Some(query)) => query,
            Ok(None) => return,
            Err(_) => {
                if let Some(idle) = kept.take() {
                    idle.release();
                }
                match queries.recv().await {
                    Some(query) => query,
                    None => return,
                }
            }
        };
        let mut pending = vec![first];
        while let Ok(query) = queries.try_recv() {
            pending.push(query);
        }
        let taken = kept.take();
        let limit = POSITION_WAIT + ANSWER_TIMEOUT;
        let answered = tokio::time::timeout(
            limit,
            query_once(&shared, &service, &instance, taken, &pending),
        );
        if let Ok(Some((used, answer))) = answered.await {
            kept = used.keep_if_recent();
            for query in pending {
                // The session may have ended.
                let _ = query.reply.send(answer.clone());
            }
        } else {
            drop(pending);
            tokio::time::sleep(FAILURE_DELAY).await;
        }
    }
}

/// A connection that is kept between queries.
#[derive(Debug)]
struct KeptConnection {
    connection: CheckedOutConnection,
    opened_at: Instant,
}

impl KeptConnection {
    /// Returns the connection if it may be used again; releases it if it is too old.
    fn keep_if_recent(self) -> Option<Self> {
        if self.opened_at.elapsed() < MAX_CONNECTION_AGE {
            return Some(self);
        }
        self.release();
        None
    }

    fn release(self) {
        self.connection.release(true);
    }
}

/// Returns whether the control thread's sample of an instance is missing or old.
fn is_report_due(shared: &Shared, service: &ServiceId, instance: &InstanceId) -> bool {
    let route = shared.route(service);
    let sample = route
        .as_ref()
        .and_then(|route| route.view.samples.get(instance));
    let now = shared.clock.now();
    sample.is_none_or(|sample| now.saturating_sub(sample.sent_at) >= MIN_REPORT_AGE)
}

async fn query_once(
    shared: &Shared,
    service: &ServiceId,
    instance: &InstanceId,
    kept: Option<KeptConnection>,
    pending: &[StatusQuery],
) -> Option<(KeptConnection, ReplicaAnswer)> {
    let mut used = if let Some(kept) = kept {
        kept
    } else {
        let route = shared.route(service)?;
        let connection = CheckedOutConnection::open(shared, &route, instance, ANSWER_TIMEOUT)
            .await
            .ok()?;
        let opened_at = Instant::now();
        KeptConnection {
            connection,
            opened_at,
        }
    };
    let (term, position) = pending
        .iter()
        .map(|query| (query.term, query.position))
        .max()?;
    let sql = if position == 0 {
        "SELECT group_status()".to_owned()
    } else {
        format!(
            "SELECT group_wait({term}, {position}, {})",
            POSITION_WAIT.as_millis()
        )
    };
    let sent_at = shared.clock.now();
    used.connection.send(query(&sql).bytes()).await.ok()?;
    let status = read_status(&mut used.connection).await.ok()??;
    if status.fence_term > term || status.term > term || is_report_due(shared, service, instance) {
        report(shared, service, sent_at, &status);
    }
    Some((used, ReplicaAnswer { sent_at, status }))
}
