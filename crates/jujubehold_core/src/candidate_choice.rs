//! Choice of the replica that takes over from a primary.

use crate::ids::{InstanceId, Term};
use crate::instance_status::Role;
use crate::log_position::LogPosition;
use crate::value_type;

value_type! {
    /// What an instance reports about itself when a primary is replaced.
    pub struct CandidateStatus {
        /// The instance.
        pub instance: InstanceId,
        /// Its role.
        pub role: Role,
        /// The term in which it is primary or that it follows.
        pub term: Term,
        /// The last commit that it received.
        pub received: LogPosition,
        /// Whether it is a replica that is not marked for promotion.
        pub is_unmarked: bool,
        /// Whether it is about to leave the group.
        pub is_leaving: bool,
    }

    /// The result of a choice.
    pub enum CandidateChoice {
        /// The instance is already primary: an earlier promotion took effect.
        AlreadyPrimary(InstanceId),
        /// The instance should be promoted.
        Promote(InstanceId),
        /// No instance can take over yet.
        None,
    }
}

/// Chooses among `statuses` the instance that replaces the primary `old` of `old_term`, which is 0
/// if the term is not known.
///
/// Only a primary of a later term was promoted after `old`. One of an earlier term was replaced
/// itself, but has not noticed because it cannot reach its successors.
///
/// The replica that received the most loses the fewest commits. A replica that is about to leave
/// ranks last, since it would have to be replaced at once. Where `confirming_replicas` acknowledge a
/// commit, it may be the only one that has it, so it ranks last among those that received as much.
pub fn choose_candidate(
    old: &InstanceId,
    old_term: Term,
    statuses: &[CandidateStatus],
    confirming_replicas: usize,
) -> CandidateChoice {
    let others = || statuses.iter().filter(|status| status.instance != *old);
    let newest_term = statuses.iter().map(|status| status.term).max();
    let newer_primary = others()
        .filter(|status| status.role == Role::Primary)
        .filter(|status| status.term > old_term && Some(status.term) >= newest_term)
        .max_by_key(|status| status.received);
    if let Some(newer_primary) = newer_primary {
        return CandidateChoice::AlreadyPrimary(newer_primary.instance.clone());
    }
    others()
        .filter(|status| status.role == Role::Replica)
        .max_by_key(|status| {
            let stays_unconfirmed = confirming_replicas == 0 && !status.is_leaving;
            (stays_unconfirmed, status.received, !status.is_leaving)
        })
        .map_or(CandidateChoice::None, |status| {
            CandidateChoice::Promote(status.instance.clone())
        })
}
