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

/// How long it is tried to remove a replica's mark: longer than a replica is expected to be cut off.
const RESUME_TIMEOUT: Duration = Duration::from_secs(20);
/// The pause before a replica that does not answer is asked again.
const RESUME_RETRY_PAUSE: Duration = Duration::from_millis(500);

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
    let mut upstreams = shared.upstreams_of(&announced.service);
    upstreams.retain(|upstream| upstream.id() != announced.old_primary);
    query_statuses(&upstreams).await
}

/// Returns the status of every one of `upstreams` that answers.
pub(super) async fn query_statuses<P: Platform>(
    upstreams: &[Rc<Upstream<P>>],
) -> Vec<CandidateStatus> {
    let ask = |upstream: Rc<Upstream<P>>| async move {
        let report = query_status(&upstream, ConnectionPurpose::Promotion).await?;
        Some(candidate_status(&upstream, &report))
    };
    let tasks: Vec<_> = upstreams
        .iter()
        .map(|upstream| actix_rt::spawn(ask(Rc::clone(upstream))))
        .collect();
    let mut statuses = Vec::new();
    for task in tasks {
        if let Ok(Some(status)) = task.await {
            statuses.push(status);
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
        may_lead: true,
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
    let report = mark(&upstream, mark_term(status, statuses)).await?;
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

/// Marks these replicas; returns `false` if some can't be marked.
pub(super) async fn mark_replicas<P: Platform>(
    upstreams: &[Rc<Upstream<P>>],
    replicas: &[InstanceId],
    statuses: &[CandidateStatus],
) -> bool {
    let mut tasks = Vec::new();
    for status in statuses {
        let upstream = upstreams
            .iter()
            .find(|upstream| upstream.id() == status.instance);
        if let Some(upstream) = upstream.filter(|_| replicas.contains(&status.instance)) {
            let (upstream, term) = (Rc::clone(upstream), mark_term(status, statuses));
            tasks.push(actix_rt::spawn(async move { mark(&upstream, term).await }));
        }
    }
    let mut are_marked = true;
    for task in tasks {
        let report = task.await.ok().flatten();
        are_marked &= report.is_some_and(|report| !report.is_unmarked_replica());
    }
    are_marked
}

// Returns the term with which a replica is marked, which is above every known one.
fn mark_term(status: &CandidateStatus, statuses: &[CandidateStatus]) -> Term {
    let terms = statuses.iter().map(|status| status.received.term);
    terms.max().unwrap_or_default().max(status.term) + 1
}

/// Removes the marks of those of `upstreams` that were not promoted, which would receive nothing any
/// more.
pub(super) fn resume_other_replicas<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
    upstreams: Vec<Rc<Upstream<P>>>,
    promoted: &PromotedInstance,
) {
    for upstream in upstreams {
        if upstream.id() != promoted.id {
            let service = announced.service.clone();
            let resuming = resume_replica(Rc::clone(shared), service, upstream, promoted.clone());
            actix_rt::spawn(resuming);
        }
    }
}

async fn resume_replica<P: Platform>(
    shared: Rc<Shared<P>>,
    service: ServiceId,
    upstream: Rc<Upstream<P>>,
    promoted: PromotedInstance,
) {
    let give_up_at = shared.now() + RESUME_TIMEOUT;
    while shared.now() < give_up_at {
        if let Some(report) = query_status(&upstream, ConnectionPurpose::Promotion).await {
            let is_marked = report.role == Role::Replica && !report.is_unmarked_replica();
            // A later change needs its own marks.
            let is_later = report.held_term > promoted.term && {
                let lead_state = shared.lead_state.borrow();
                lead_state.table.usable_primary(&service) != Some(&promoted.id)
            };
            if !is_marked || is_later || resume(&upstream).await.is_some() {
                return;
            }
        }
        actix_rt::time::sleep(RESUME_RETRY_PAUSE).await;
    }
    warn!(instance = upstream.id().as_str(); "failed to remove a replica's mark");
}

/// An instance that has become the primary.
#[derive(Debug, Clone)]
pub(super) struct PromotedInstance {
    pub(super) id: InstanceId,
    /// The term in which it leads.
    pub(super) term: Term,
    /// What it had when it took over; `None` if it led before and leads again in the same term.
    pub(super) start: Option<LogPosition>,
}

impl PromotedInstance {
    /// Returns whether the old primary leads again.
    pub(super) fn is_reinstated(&self) -> bool {
        self.start.is_none()
    }
}

/// Returns the instance, which had received what `statuses` state when it was chosen, once it reports
/// that it is the primary; `None` if that takes longer than [`PROMOTION_TIMEOUT`].
pub(super) async fn wait_until_primary<P: Platform>(
    shared: &Rc<Shared<P>>,
    instance: &InstanceId,
    statuses: &[CandidateStatus],
) -> Option<PromotedInstance> {
    let chosen = statuses.iter().find(|status| status.instance == *instance);
    let start = chosen.map(|status| status.received);
    let give_up_at = shared.now() + PROMOTION_TIMEOUT;
    while shared.now() < give_up_at {
        let upstream = shared.upstream(instance)?;
        let report = query_status(&upstream, ConnectionPurpose::Promotion).await;
        if let Some(report) = report.filter(|report| report.role == Role::Primary) {
            let id = instance.clone();
            let term = report.term;
            return Some(PromotedInstance { id, term, start });
        }
        actix_rt::time::sleep(STATUS_POLL_INTERVAL).await;
    }
    None
}
