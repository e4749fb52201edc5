//! Promotes a replica where commits are acknowledged only once replicas have received them.
//!
//! All replicas are marked before their positions are compared, and the positions are compared again
//! once no host uses the old primary. See docs/notes/confirmed-commits.md.

use std::collections::BTreeSet;

use jujubehold_core::candidate_choice::{CandidateStatus, newer_primary};
use jujubehold_core::confirmed_choice::{ConfirmedChoice, ConfirmedStep, KnownCommits};
use jujubehold_core::replica_record::ReplicaRecord;
use log::{info, warn};

use super::super::peers::Peers;
use super::super::replica_records::read_replicas;
use super::acknowledged::acknowledged_bound;
use super::announce::{AnnouncedChange, is_current};
use super::candidates::{
    PromotedInstance, log_choice, mark_replicas, query_statuses, resume_other_replicas,
    wait_until_primary,
};
use super::promotion::{await_promoted, order_promotion, promote_replica};
use super::record::announce_wait;
use super::stopping::{note_stopped_hosts, start_stop_wait, wait_for_stop};
use super::{STATUS_POLL_INTERVAL, STEP_RETRY_PAUSE};
use crate::pool::Upstream;
use crate::prelude::*;

/// How long after the announcement the old primary may be promoted again, if it stepped down and no
/// other instance has its log.
const OLD_PRIMARY_DELAY: Duration = Duration::from_secs(10);

/// How long instances and hosts may take to answer before callers are told that the change has to wait
/// for one.
const EXPECTED_ANSWER_TIME: Duration = Duration::from_millis(1_500);

/// Within this time a promotion that was ordered has taken effect.
const PROMOTION_EFFECT_TIME: Duration = Duration::from_millis(1_500);

/// How long the old primary's answer is waited for.
const OLD_PRIMARY_TIMEOUT: Duration = Duration::from_millis(150);

/// Returns how many replicas of `service` must receive a commit before it is acknowledged.
pub(super) fn confirming_replicas<P: Platform>(shared: &Shared<P>, service: &str) -> usize {
    let configuration = shared.configuration.borrow();
    let limits = configuration
        .as_ref()
        .and_then(|configuration| configuration.services.get(service));
    let confirming = limits.map_or(0, |limits| limits.sync_replicas);
    usize::try_from(confirming).unwrap_or(usize::MAX)
}

/// Promotes a replica that has every acknowledged commit, and waits until it is primary; `None` if
/// another host took the change over. `final_position` is what the old primary had when it stepped
/// down.
///
/// If a configuration says meanwhile that no replica confirms commits, the replica that has received
/// most is promoted: operators end a wait in this way for an instance that will not come back.
pub(super) async fn promote_confirmed_replica<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
    final_position: Option<LogPosition>,
) -> Option<PromotedInstance> {
    let confirming = confirming_replicas(shared, &announced.service);
    let mut choice = ConfirmedChoice::new(confirming, final_position);
    let mut wait = start_stop_wait(shared, announced, announced.announced_at).await;
    let mut marked = BTreeSet::new();
    let mut last_step = None;
    let mut record = None;
    loop {
        if !is_current(shared, announced) {
            return None;
        }
        if confirming_replicas(shared, &announced.service) == 0 {
            warn!(service = announced.service.as_str();
                "replicas no longer confirm commits; acknowledged commits may be lost");
            return promote_replica(shared, peers, announced, final_position).await;
        }
        if record.is_none() {
            record = read_record(shared, announced).await;
        }
        let members = GroupMembers::new(shared, announced);
        let statuses = members.query(shared, announced).await;
        if let Some(newer) = newer_primary(&announced.old_primary, announced.old_term, &statuses) {
            let promoted = await_promoted(shared, peers, announced, newer).await?;
            resume_other_replicas(shared, announced, members.all(), &promoted);
            return Some(promoted);
        }
        // Hosts that are cut off may have seen a replica without a mark until now.
        let marked_now = marked_replicas(&statuses);
        if !marked_now.is_subset(&marked) {
            wait.restart(shared.now());
        }
        marked = marked_now;
        note_stopped_hosts(peers, announced, &mut wait);
        let known = KnownCommits {
            expected_replicas: members.expected_replicas(shared, record.as_ref()),
            acknowledged: acknowledged_bound(shared, peers, announced, &wait),
            term_start: record
                .as_ref()
                .and_then(|record| record.start_of(announced.old_term)),
        };
        let step = choice.next_step(&announced.old_primary, &statuses, &known);
        log_step(announced, &step, &mut last_step, &statuses, &known);
        match step {
            ConfirmedStep::Mark(replicas) => {
                if !mark_replicas(&members.all(), &replicas, &statuses).await {
                    actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
                }
            }
            ConfirmedStep::AwaitAnswers | ConfirmedStep::AwaitCommits => {
                let is_over = wait.is_over(shared.now());
                if is_over && shared.now() >= announced.announced_at + EXPECTED_ANSWER_TIME {
                    announce_wait(shared, peers, announced).await;
                }
                actix_rt::time::sleep(STATUS_POLL_INTERVAL).await;
            }
            ConfirmedStep::Promote(_) | ConfirmedStep::Reinstate if !wait.is_over(shared.now()) => {
                wait_for_stop(shared, peers, announced, &mut wait).await?;
            }
            ConfirmedStep::Promote(instance) => {
                log_choice(announced, &instance, &statuses);
                if order_promotion(shared, announced, &instance).await?
                    && let Some(promoted) = wait_until_primary(shared, &instance, &statuses).await
                {
                    resume_other_replicas(shared, announced, members.all(), &promoted);
                    return Some(promoted);
                }
                actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
            }
            ConfirmedStep::Reinstate => {
                log_choice(announced, &announced.old_primary, &statuses);
                if let Some(reinstated) = reinstate(shared, announced).await? {
                    return Some(reinstated);
                }
                actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
            }
        }
    }
}

// Lets the old primary lead again. Returns `Some(None)` if it does not, and `None` if another host took
// the change over.
//
// The platform's answer to the order does not tell whether it took another instance for the primary,
// because of an order that an earlier host gave. The old primary then begins a later term.
async fn reinstate<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
) -> Option<Option<PromotedInstance>> {
    let old = &announced.old_primary;
    if !order_promotion(shared, announced, old).await? {
        return Some(None);
    }
    actix_rt::time::sleep(PROMOTION_EFFECT_TIME).await;
    let reinstated = wait_until_primary(shared, old, &[]).await;
    let is_settled = reinstated.is_some() && is_only_primary(shared, announced).await;
    Some(reinstated.filter(|_| is_settled))
}

/// Removes the replicas' marks once the old primary is on record again. Until then they can't be told
/// from those of a later change, since no new term began.
pub(super) fn resume_after_reinstatement<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
    reinstated: &PromotedInstance,
) {
    let members = GroupMembers::new(shared, announced);
    resume_other_replicas(shared, announced, members.all(), reinstated);
}

// Returns whether no instance that answers is the primary of a later term than the old primary.
async fn is_only_primary<P: Platform>(shared: &Shared<P>, announced: &AnnouncedChange) -> bool {
    let members = GroupMembers::new(shared, announced);
    let statuses = members.query(shared, announced).await;
    let newest = statuses
        .iter()
        .filter(|status| status.role == Role::Primary)
        .max_by_key(|status| status.term);
    newest.is_some_and(|status| status.instance == announced.old_primary)
}

// Returns the service's replica record; `None`, after a pause, if it can't be read.
async fn read_record<P: Platform>(
    shared: &Shared<P>,
    announced: &AnnouncedChange,
) -> Option<ReplicaRecord> {
    match read_replicas(shared, &announced.service).await {
        Ok(stored) => Some(stored.record),
        Err(error) => {
            warn!(service = announced.service.as_str(), error:% = error;
                "failed to read which instances may have confirmed commits");
            actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
            None
        }
    }
}

fn marked_replicas(statuses: &[CandidateStatus]) -> BTreeSet<InstanceId> {
    statuses
        .iter()
        .filter(|status| status.role == Role::Replica && !status.is_unmarked)
        .map(|status| status.instance.clone())
        .collect()
}

// Logs the next step when it changes, and what it rests on.
fn log_step(
    announced: &AnnouncedChange,
    step: &ConfirmedStep,
    last_step: &mut Option<ConfirmedStep>,
    statuses: &[CandidateStatus],
    known: &KnownCommits,
) {
    if last_step.as_ref() == Some(step) {
        return;
    }
    let next = match step {
        ConfirmedStep::AwaitAnswers => "await_answers",
        ConfirmedStep::AwaitCommits => "await_commits",
        ConfirmedStep::Mark(_) => "mark",
        ConfirmedStep::Promote(_) => "promote",
        ConfirmedStep::Reinstate => "reinstate",
    };
    let position = |position: Option<LogPosition>| {
        position.map_or("unknown".to_owned(), |position| position.to_string())
    };
    info!(service = announced.service.as_str(), next, answered = statuses.len(),
        expected:? = known.expected_replicas,
        acknowledged = position(known.acknowledged).as_str(),
        term_start = position(known.term_start).as_str();
        "next step towards a replica that certainly has every acknowledged commit");
    *last_step = Some(step.clone());
}

/// The instances of a group at one moment of a change.
struct GroupMembers<P: Platform> {
    old_id: InstanceId,
    old_primary: Option<Rc<Upstream<P>>>,
    /// The other instances that are listed.
    listed: Vec<Rc<Upstream<P>>>,
    /// Instances whose entries are gone. One that is cut off from the store alone may be running.
    removed: Vec<Rc<Upstream<P>>>,
    is_old_primary_listed: bool,
}

impl<P: Platform> GroupMembers<P> {
    fn new(shared: &Shared<P>, announced: &AnnouncedChange) -> Self {
        let is_old = |upstream: &Rc<Upstream<P>>| upstream.id() == announced.old_primary;
        let mut listed = shared.upstreams_of(&announced.service);
        let mut removed = shared.removed_upstreams_of(&announced.service);
        let old_primary = listed
            .iter()
            .chain(&removed)
            .find(|one| is_old(one))
            .cloned();
        let is_old_primary_listed = listed.iter().any(is_old);
        listed.retain(|upstream| !is_old(upstream));
        removed.retain(|upstream| !is_old(upstream));
        Self {
            old_id: announced.old_primary.clone(),
            old_primary,
            listed,
            removed,
            is_old_primary_listed,
        }
    }

    fn all(&self) -> Vec<Rc<Upstream<P>>> {
        let others = self.listed.iter().chain(&self.removed);
        others.chain(&self.old_primary).cloned().collect()
    }

    // Returns the status of every instance that answers. Callers can only be served by an instance
    // that is listed, and the old primary is the last choice.
    async fn query(&self, shared: &Shared<P>, announced: &AnnouncedChange) -> Vec<CandidateStatus> {
        let others: Vec<_> = self.listed.iter().chain(&self.removed).cloned().collect();
        let old_primary: Vec<_> = self.old_primary.iter().cloned().collect();
        let (mut statuses, old) = tokio::join!(
            query_statuses(&others),
            // Usually it is the one that does not answer, and nothing depends on its answer then.
            tokio::time::timeout(OLD_PRIMARY_TIMEOUT, query_statuses(&old_primary)),
        );
        for status in &mut statuses {
            let mut listed = self.listed.iter();
            status.may_lead = listed.any(|upstream| upstream.id() == status.instance);
        }
        // In a planned change, it is about to leave.
        let is_late = shared.now() >= announced.announced_at + OLD_PRIMARY_DELAY;
        let may_old_lead = |role: Role| {
            let is_early_enough = role == Role::Primary && !announced.is_planned;
            self.is_old_primary_listed && (is_late || is_early_enough)
        };
        statuses.extend(
            old.unwrap_or_default()
                .into_iter()
                .map(|status| CandidateStatus {
                    may_lead: may_old_lead(status.role),
                    ..status
                }),
        );
        statuses
    }

    // Returns the number of instances, without the old primary, that may have confirmed commits in its
    // term; `None` if it is not known. An instance that is no longer listed still has its log.
    fn expected_replicas(
        &self,
        shared: &Shared<P>,
        record: Option<&ReplicaRecord>,
    ) -> Option<usize> {
        let record = record.filter(|_| shared.has_followed_directory())?;
        let mut expected = record.instances.clone();
        expected.extend(self.all().iter().map(|upstream| upstream.id()));
        expected.remove(&self.old_id);
        Some(expected.len())
    }
}
