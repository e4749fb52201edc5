//! Queries and marks the instances of a group during a change of primary.

use jujubehold_core::candidate_choice::CandidateStatus;
use jujubehold_core::connection_purpose::ConnectionPurpose;
use log::{info, warn};

use super::super::status_calls::{mark, query_status, resume, step_down};
use super::STATUS_POLL_INTERVAL;
use super::announce::AnnouncedChange;
use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{InstanceLifecycle, StatusReport};

/// The timeout for a promoted instance to become primary.
const PROMOTION_TIMEOUT: Duration = Duration::from_secs(3);

/// Makes the old primary of a planned change a replica if it can be reached. Returns the position
/// that it had received, up to which its log should be kept.
pub(super) async fn fence_old_primary<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
) -> Option<LogPosition> {
    let old = shared.upstream(&announced.old_primary)?;
    let report = query_status(&old, ConnectionPurpose::Promotion).await?;
    if report.role == Role::Replica {
        return None;
    }
    let report = step_down(&old, report.term + 1).await?;
    info!(instance = announced.old_primary.as_str(), received:% = report.received;
        "the old primary stepped down");
    Some(report.received)
}

/// Returns the status of every instance of the group that answers, except the old primary.
pub(super) async fn query_candidates<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
) -> Vec<CandidateStatus> {
    let mut tasks = Vec::new();
    for upstream in shared.upstreams_of(&announced.service) {
        if upstream.id() != announced.old_primary {
            tasks.push(actix_rt::spawn(async move {
                let report = query_status(&upstream, ConnectionPurpose::Promotion).await;
                (upstream, report)
            }));
        }
    }
    let mut statuses = Vec::new();
    for task in tasks {
        if let Ok((upstream, Some(report))) = task.await {
            statuses.push(candidate_status(&upstream, &report));
        }
    }
    statuses
}

fn candidate_status<P: Platform>(upstream: &Upstream<P>, report: &StatusReport) -> CandidateStatus {
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

/// Logs what the instances reported when `chosen` was chosen to take over.
pub(super) fn log_choice(
    announced: &AnnouncedChange,
    chosen: &InstanceId,
    statuses: &[CandidateStatus],
) {
    let reports: Vec<_> = statuses.iter().map(describe).collect();
    info!(service = announced.service.as_str(), chosen = chosen.as_str(),
        reports = reports.join(", ").as_str();
        "replica chosen to take over");
}

fn describe(status: &CandidateStatus) -> String {
    let CandidateStatus {
        instance, received, ..
    } = status;
    let is_marked = status.role == Role::Replica && !status.is_unmarked;
    let mark = if is_marked { " marked" } else { "" };
    let leaving = if status.is_leaving { " leaving" } else { "" };
    format!(
        "{instance} {} {received}{mark}{leaving}",
        status.role.as_str()
    )
}

/// Returns how many replicas of `service` must receive a commit before it is acknowledged.
pub(super) fn confirming_replicas<P: Platform>(shared: &Shared<P>, service: &str) -> usize {
    let configuration = shared.configuration.borrow();
    let limits = configuration
        .as_ref()
        .and_then(|configuration| configuration.services.get(service));
    let confirming = limits.map_or(0, |limits| limits.sync_replicas);
    usize::try_from(confirming).unwrap_or(usize::MAX)
}

/// Returns whether enough instances answered that one of them has every acknowledged commit. If
/// replicas confirm commits, a replica that does not answer may be the only one that has an
/// acknowledged commit.
pub(super) fn has_all_answers<P: Platform>(
    shared: &Shared<P>,
    announced: &AnnouncedChange,
    statuses: &[CandidateStatus],
) -> bool {
    let confirming = confirming_replicas(shared, &announced.service);
    if confirming == 0 {
        return true;
    }
    let others = shared
        .upstreams_of(&announced.service)
        .iter()
        .filter(|upstream| upstream.id() != announced.old_primary)
        .count();
    statuses.len() + confirming > others
}

/// Marks a replica unless it is already marked. Returns the time of the mark if it was set now; the
/// outer `None` means that marking failed.
pub(super) async fn ensure_marked<P: Platform>(
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

// A replica that restarted has lost its mark, and hosts may have seen it unmarked.
pub(super) async fn is_marked<P: Platform>(shared: &Rc<Shared<P>>, instance: &InstanceId) -> bool {
    let Some(upstream) = shared.upstream(instance) else {
        return false;
    };
    let report = query_status(&upstream, ConnectionPurpose::Promotion).await;
    report.is_some_and(|report| !report.is_unmarked_replica())
}

// Marks of an earlier attempt would keep these replicas from receiving the log.
pub(super) fn resume_other_replicas<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
    primary: &InstanceId,
) {
    for upstream in shared.upstreams_of(&announced.service) {
        if upstream.id() == *primary {
            continue;
        }
        actix_rt::spawn(async move {
            let report = query_status(&upstream, ConnectionPurpose::Promotion).await;
            let is_marked = report.is_some_and(|report| {
                report.role == Role::Replica && !report.is_unmarked_replica()
            });
            if is_marked && resume(&upstream).await.is_none() {
                warn!(instance = upstream.id().as_str(); "failed to remove a replica's mark");
            }
        });
    }
}

/// An instance that has become the primary.
#[derive(Debug)]
pub(super) struct PromotedInstance {
    pub(super) id: InstanceId,
    /// The term in which it leads.
    pub(super) term: Term,
}

/// Returns the instance once it reports that it is the primary; `None` if that takes longer than
/// [`PROMOTION_TIMEOUT`].
pub(super) async fn wait_until_primary<P: Platform>(
    shared: &Rc<Shared<P>>,
    instance: &InstanceId,
) -> Option<PromotedInstance> {
    let give_up_at = shared.now() + PROMOTION_TIMEOUT;
    while shared.now() < give_up_at {
        let upstream = shared.upstream(instance)?;
        let report = query_status(&upstream, ConnectionPurpose::Promotion).await;
        if let Some(report) = report.filter(|report| report.role == Role::Primary) {
            let id = instance.clone();
            let term = report.term;
            return Some(PromotedInstance { id, term });
        }
        actix_rt::time::sleep(STATUS_POLL_INTERVAL).await;
    }
    None
}
