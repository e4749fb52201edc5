//! What the instances of a group say when a primary is replaced.

use jujubehold_core::candidate_choice::CandidateStatus;
use log::{info, warn};

use super::super::status_calls::{mark, resume, status, step_down};
use super::LEAD_LOOK;
use super::announce::Announced;
use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{InstanceLifecycle, StatusReport};

/// How long a promoted instance may take to lead.
const LEAD_WAIT: Duration = Duration::from_secs(3);

/// Makes a primary that leaves by plan a replica, where it can be reached; returns what it had
/// received, all of which should be kept.
pub(super) async fn fence_old<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
) -> Option<LogPosition> {
    let old = shared.upstream(&announced.old)?;
    let report = status(&old).await?;
    if report.role == Role::Replica {
        return None;
    }
    let report = step_down(&old, report.term + 1).await?;
    info!(instance = announced.old.as_str(), received:% = report.received;
        "the old primary stepped down");
    Some(report.received)
}

pub(super) async fn ask_all<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
) -> Vec<CandidateStatus> {
    let mut asked = Vec::new();
    for upstream in shared.upstreams_of(&announced.service) {
        if upstream.id() != announced.old {
            asked.push(actix_rt::spawn(async move {
                let report = status(&upstream).await;
                (upstream, report)
            }));
        }
    }
    let mut statuses = Vec::new();
    for task in asked {
        if let Ok((upstream, Some(report))) = task.await {
            statuses.push(candidate(&upstream, &report));
        }
    }
    statuses
}

fn candidate<P: Platform>(upstream: &Upstream<P>, report: &StatusReport) -> CandidateStatus {
    let entry = upstream.entry();
    CandidateStatus {
        instance: entry.id,
        role: report.role,
        received: report.received,
        term: report.term,
        is_unmarked: report.is_unmarked_replica(),
        is_leaving: entry.lifecycle == InstanceLifecycle::Leaving,
    }
}

// Where replicas confirm commits, one that gives no answer may be the only one that has an
// acknowledged commit.
pub(super) fn has_all_answers<P: Platform>(
    shared: &Shared<P>,
    announced: &Announced,
    statuses: &[CandidateStatus],
) -> bool {
    let configuration = shared.configuration.borrow();
    let limits = configuration
        .as_ref()
        .and_then(|configuration| configuration.services.get(&announced.service).cloned());
    let confirming = limits.map_or(0, |limits| limits.sync_replicas);
    if confirming == 0 {
        return true;
    }
    let others = shared
        .upstreams_of(&announced.service)
        .iter()
        .filter(|upstream| upstream.id() != announced.old)
        .count();
    let confirming = usize::try_from(confirming).unwrap_or(usize::MAX);
    statuses.len() + confirming > others
}

/// Marks a replica unless it is marked; when it was marked now, that is when.
pub(super) async fn keep_mark<P: Platform>(
    shared: &Rc<Shared<P>>,
    instance: &InstanceId,
    statuses: &[CandidateStatus],
) -> Option<Option<Monotonic>> {
    let status = statuses
        .iter()
        .find(|status| status.instance == *instance)?;
    if !status.is_unmarked {
        return Some(None);
    }
    let upstream = shared.upstream(instance)?;
    let newest_term = statuses.iter().map(|status| status.received.term).max()?;
    let term = newest_term.max(status.term) + 1;
    let report = mark(&upstream, term).await?;
    let is_marked = !report.is_unmarked_replica();
    is_marked.then(|| Some(shared.now()))
}

// A replica that was started again has lost its mark, and hosts may have seen it without.
pub(super) async fn is_marked<P: Platform>(shared: &Rc<Shared<P>>, instance: &InstanceId) -> bool {
    let Some(upstream) = shared.upstream(instance) else {
        return false;
    };
    let report = status(&upstream).await;
    report.is_some_and(|report| !report.is_unmarked_replica())
}

// Marks of an earlier try would keep replicas from receiving.
pub(super) fn resume_others<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
    primary: &InstanceId,
) {
    for upstream in shared.upstreams_of(&announced.service) {
        if upstream.id() == *primary {
            continue;
        }
        actix_rt::spawn(async move {
            let report = status(&upstream).await;
            let is_marked = report.is_some_and(|report| {
                report.role == Role::Replica && !report.is_unmarked_replica()
            });
            if is_marked && resume(&upstream).await.is_none() {
                warn!(instance = upstream.id().as_str(); "a mark could not be taken off");
            }
        });
    }
}

pub(super) async fn leads_soon<P: Platform>(shared: &Rc<Shared<P>>, instance: &InstanceId) -> bool {
    let give_up_at = shared.now() + LEAD_WAIT;
    while shared.now() < give_up_at {
        let Some(upstream) = shared.upstream(instance) else {
            return false;
        };
        let report = status(&upstream).await;
        if report.is_some_and(|report| report.role == Role::Primary) {
            return true;
        }
        actix_rt::time::sleep(LEAD_LOOK).await;
    }
    false
}
