//! Which replica takes over where commits are acknowledged only once replicas have received them.
//!
//! The replica that takes over must have every commit that was acknowledged. As long as any replica
//! receives commits, the old primary may acknowledge more of them: a host that is cut off may use it
//! until its proof expires, and an instance that is about to leave confirms commits until it ends.
//! So all replicas are marked, upon which they receive nothing more, and their positions are
//! compared after that. A replica that restarts loses its mark and is marked again.
//!
//! A replica that does not answer may be the only one that has a commit. It is waited for as long as
//! it is listed, and so is an instance that is known to have received more than those that may take
//! over. See docs/notes/confirmed-commits.md.

use crate::candidate_choice::CandidateStatus;
use crate::ids::InstanceId;
use crate::instance_status::Role;
use crate::log_position::LogPosition;
use crate::value_type;

value_type! {
    /// What the instances have reported during one change of primary.
    pub struct ConfirmedChoice {
        /// How many replicas must receive a commit before it is acknowledged.
        confirming_replicas: usize,
        /// The newest position that any replica reported.
        newest_received: LogPosition,
        /// Whether the old primary stepped down and reported its position, which is that of the
        /// newest acknowledged commit or a later one.
        has_stepped_down: bool,
    }

    /// What has to be done next.
    pub enum ConfirmedStep {
        /// These replicas have to be marked, and asked again.
        Mark(Vec<InstanceId>),
        /// Too few instances answer to know that one of them has every acknowledged commit.
        AwaitAnswers,
        /// No instance that may take over has all that another one reported.
        AwaitCommits,
        /// The instance has every acknowledged commit, and no more can be acknowledged.
        Promote(InstanceId),
    }
}

impl ConfirmedChoice {
    /// Creates the state for a service in which `confirming_replicas` confirm a commit, which is at
    /// least one. `final_position` is what the old primary reported when it stepped down.
    pub fn new(confirming_replicas: usize, final_position: Option<LogPosition>) -> Self {
        let nothing = LogPosition {
            term: 0,
            position: 0,
        };
        Self {
            confirming_replicas,
            newest_received: final_position.unwrap_or(nothing),
            has_stepped_down: final_position.is_some(),
        }
    }

    /// Decides by `statuses`, the latest answers of all instances that answer, what is next.
    /// `expected_replicas` is the number of instances other than the primary `old` that may have
    /// confirmed a commit.
    pub fn next_step(
        &mut self,
        old: &InstanceId,
        statuses: &[CandidateStatus],
        expected_replicas: usize,
    ) -> ConfirmedStep {
        let replicas = || {
            statuses
                .iter()
                .filter(|status| status.role == Role::Replica)
        };
        let newest = replicas().map(|status| status.received).max();
        self.newest_received = self
            .newest_received
            .max(newest.unwrap_or(self.newest_received));
        let best = replicas()
            .filter(|status| status.may_lead && status.received >= self.newest_received)
            .max_by_key(|status| (!status.is_leaving, status.instance != *old));
        // Unmarked replicas still receive the log of a primary that stepped down.
        let is_old_replica = replicas().any(|status| status.instance == *old);
        if (is_old_replica || self.has_stepped_down) && best.is_none() {
            return ConfirmedStep::AwaitCommits;
        }
        let unmarked: Vec<_> = replicas()
            .filter(|status| status.is_unmarked)
            .map(|status| status.instance.clone())
            .collect();
        if !unmarked.is_empty() {
            return ConfirmedStep::Mark(unmarked);
        }
        let answered = replicas().filter(|status| status.instance != *old).count();
        let has_all_answers = answered + self.confirming_replicas > expected_replicas;
        if !has_all_answers && !self.has_stepped_down {
            return ConfirmedStep::AwaitAnswers;
        }
        match best {
            Some(best) => ConfirmedStep::Promote(best.instance.clone()),
            None => ConfirmedStep::AwaitCommits,
        }
    }
}
