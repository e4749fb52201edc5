//! Promotes a replica where commits are acknowledged only once replicas have received them.
//!
//! All replicas are marked before their positions are compared, and the positions are compared again
//! once no host uses the old primary. See docs/notes/confirmed-commits.md.

use std::collections::BTreeSet;

use jujubehold_core::candidate_choice::{CandidateStatus, newer_primary};
use jujubehold_core::confirmed_choice::{ConfirmedChoice, ConfirmedStep};
use log::info;

use super::super::peers::Peers;
use super::announce::{AnnouncedChange, is_current};
use super::candidates::{
    PromotedInstance, log_choice, mark_replicas, query_statuses, resume_other_replicas,
    wait_until_primary,
};
use super::promotion::{await_promoted, order_promotion};
use super::stopping::{start_stop_wait, wait_for_stop};
use super::{STATUS_POLL_INTERVAL, STEP_RETRY_PAUSE};
use crate::pool::Upstream;
use crate::prelude::*;

/// How long after the announcement the old primary may be promoted again, if it stepped down and no
/// other instance has its log.
const OLD_PRIMARY_DELAY: Duration = Duration::from_secs(10);

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
    loop {
        if !is_current(shared, announced) {
            return None;
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
        let expected = members.expected_replicas(shared, &statuses);
        let step = choice.next_step(&announced.old_primary, &statuses, expected);
        log_step(announced, &step, &mut last_step, &statuses);
        match step {
            ConfirmedStep::Mark(replicas) => {
                if !mark_replicas(&members.all(), &replicas, &statuses).await {
                    actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
                }
            }
            ConfirmedStep::AwaitAnswers | ConfirmedStep::AwaitCommits => {
                actix_rt::time::sleep(STATUS_POLL_INTERVAL).await;
            }
            ConfirmedStep::Promote(_) if !wait.is_over(shared.now()) => {
                wait_for_stop(shared, peers, announced, &mut wait).await?;
            }
            ConfirmedStep::Promote(instance) => {
                log_choice(announced, &instance, &statuses);
                if order_promotion(shared, announced, &instance).await?
                    && let Some(promoted) = wait_until_primary(shared, &instance).await
                {
                    resume_other_replicas(shared, announced, members.all(), &promoted);
                    return Some(promoted);
                }
                actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
            }
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

// Logs what the change waits for when that changes.
fn log_step(
    announced: &AnnouncedChange,
    step: &ConfirmedStep,
    last_step: &mut Option<ConfirmedStep>,
    statuses: &[CandidateStatus],
) {
    if last_step.as_ref() == Some(step) {
        return;
    }
    let waits_for = match step {
        ConfirmedStep::AwaitAnswers => Some("answers"),
        ConfirmedStep::AwaitCommits => Some("commits"),
        ConfirmedStep::Mark(_) | ConfirmedStep::Promote(_) => None,
    };
    if let Some(waits_for) = waits_for {
        let answered = statuses.len();
        info!(service = announced.service.as_str(), waits_for, answered;
            "waiting until a replica certainly has every acknowledged commit");
    }
    *last_step = Some(step.clone());
}

/// The instances of a group at one moment of a change.
struct GroupMembers<P: Platform> {
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
        let may_old_lead = self.is_old_primary_listed
            && shared.now() >= announced.announced_at + OLD_PRIMARY_DELAY;
        statuses.extend(
            old.unwrap_or_default()
                .into_iter()
                .map(|status| CandidateStatus {
                    may_lead: may_old_lead,
                    ..status
                }),
        );
        statuses
    }

    // Returns the number of instances that may have confirmed commits. An instance that is not listed
    // counts if it answers.
    fn expected_replicas(&self, shared: &Shared<P>, statuses: &[CandidateStatus]) -> usize {
        if !shared.has_followed_directory() {
            return usize::MAX;
        }
        let has_answered = |upstream: &&Rc<Upstream<P>>| {
            let id = upstream.id();
            statuses.iter().any(|status| status.instance == id)
        };
        self.listed.len() + self.removed.iter().filter(has_answered).count()
    }
}
