//! Which replica takes over from a primary.

use crate::ids::{InstanceId, Term};
use crate::instance_status::Role;
use crate::log_position::LogPosition;
use crate::value_type;

value_type! {
    /// What an instance said of itself when a primary is replaced.
    pub struct CandidateStatus {
        /// The instance.
        pub instance: InstanceId,
        /// Whether it leads.
        pub role: Role,
        /// The term that it serves or follows.
        pub term: Term,
        /// The last commit that it received.
        pub received: LogPosition,
        /// Whether it is a replica that was not marked to take over.
        pub is_unmarked: bool,
        /// Whether it is about to leave.
        pub is_leaving: bool,
    }

    /// What to do with the answers.
    pub enum CandidateChoice {
        /// The instance leads already: an earlier promotion took effect.
        Leads(InstanceId),
        /// The instance is to be promoted.
        Promote(InstanceId),
        /// No instance can take over yet.
        None,
    }
}

/// Chooses among `statuses`; `old` is the primary that is replaced.
///
/// The replica that received most loses the fewest commits. One that is about to leave comes last,
/// since it would have to be replaced at once.
pub fn choose_candidate(old: &InstanceId, statuses: &[CandidateStatus]) -> CandidateChoice {
    let others = || statuses.iter().filter(|status| status.instance != *old);
    let newest_term = statuses.iter().map(|status| status.received.term).max();
    let leader = others()
        .filter(|status| status.role == Role::Primary)
        .filter(|status| Some(status.received.term) >= newest_term)
        .max_by_key(|status| status.received);
    if let Some(leader) = leader {
        return CandidateChoice::Leads(leader.instance.clone());
    }
    others()
        .filter(|status| status.role == Role::Replica)
        .max_by_key(|status| (!status.is_leaving, status.received))
        .map_or(CandidateChoice::None, |status| {
            CandidateChoice::Promote(status.instance.clone())
        })
}
