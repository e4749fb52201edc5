//! Which replica takes over where commits are acknowledged only once replicas have received them.
//!
//! The replica that takes over must have every commit that was acknowledged. As long as any replica
//! receives commits, the old primary may acknowledge more of them: a host that is cut off may use it
//! until its proof expires, and an instance that is about to leave confirms commits until it ends.
//! So all replicas are marked, upon which they receive nothing more, and their positions are
//! compared after that. A replica that restarts loses its mark and is marked again.
//!
//! A replica that does not answer may be the only one that has a commit, and it keeps its log when it
//! is no longer listed. So a replica takes over only if it is certain that it has every acknowledged
//! commit, for one of these reasons:
//!
//! - The hosts know up to which position they acknowledged commits, and it has received as much.
//! - So many instances answer that every commit is in the log of one of them, and it has the newest.
//!
//! While neither holds, the old primary leads again if it comes back, since it has its whole log. See
//! docs/notes/confirmed-commits.md.

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

    /// What is known, apart from the instances' answers, of the commits that were acknowledged.
    pub struct KnownCommits {
        /// The number of instances other than the old primary that may have confirmed a commit in its
        /// term; `None` if it is not known.
        pub expected_replicas: Option<usize>,
        /// A position up to which all acknowledged commits are, if the hosts know one.
        pub acknowledged: Option<LogPosition>,
        /// What the old primary had when it took over, which is all that was acknowledged before;
        /// `None` if it is not known.
        pub term_start: Option<LogPosition>,
    }

    /// What has to be done next.
    pub enum ConfirmedStep {
        /// These replicas have to be marked, and asked again.
        Mark(Vec<InstanceId>),
        /// It is not certain that one of the instances that answer has every acknowledged commit.
        AwaitAnswers,
        /// No instance that may take over has all that another one reported.
        AwaitCommits,
        /// The replica has every acknowledged commit, and no more can be acknowledged.
        Promote(InstanceId),
        /// The old primary answers, still as the primary, and no replica certainly has every
        /// acknowledged commit.
        Reinstate,
    }
}

impl ConfirmedChoice {
    /// Creates the state for a service in which `confirming_replicas` confirm a commit, which is at
    /// least one. `final_position` is what the old primary reported when it stepped down.
    pub fn new(confirming_replicas: usize, final_position: Option<LogPosition>) -> Self {
        Self {
            confirming_replicas,
            newest_received: final_position.unwrap_or(LogPosition::START),
            has_stepped_down: final_position.is_some(),
        }
    }

    /// Decides by `statuses`, the latest answers of all instances that answer, what is next. `old` is
    /// the primary that is replaced.
    pub fn next_step(
        &mut self,
        old: &InstanceId,
        statuses: &[CandidateStatus],
        known: &KnownCommits,
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
        let best_since = |position: LogPosition| {
            replicas()
                .filter(|status| status.may_lead && status.received >= position)
                .max_by_key(|status| (!status.is_leaving, status.instance != *old, status.received))
        };
        let newest_required = self
            .newest_received
            .max(known.term_start.unwrap_or(LogPosition::START));
        let newest = best_since(newest_required);
        let complete = known.acknowledged.and_then(best_since);
        // Unmarked replicas still receive the log of a primary that stepped down.
        let is_old_replica = replicas().any(|status| status.instance == *old);
        if (is_old_replica || self.has_stepped_down) && newest.is_none() && complete.is_none() {
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
        let has_all_answers = known
            .expected_replicas
            .is_some_and(|expected| answered + self.confirming_replicas > expected);
        let is_newest_complete = has_all_answers || self.has_stepped_down;
        if let Some(best) = newest.filter(|_| is_newest_complete).or(complete) {
            return ConfirmedStep::Promote(best.instance.clone());
        }
        let may_reinstate = statuses.iter().any(|status| {
            status.instance == *old && status.role == Role::Primary && status.may_lead
        });
        if may_reinstate {
            ConfirmedStep::Reinstate
        } else if is_newest_complete {
            ConfirmedStep::AwaitCommits
        } else {
            ConfirmedStep::AwaitAnswers
        }
    }
}
