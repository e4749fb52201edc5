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
        /// Whether it may be promoted. Others are asked for what they received.
        pub may_lead: bool,
    }

    /// The result of a choice.
    pub enum CandidateChoice {
        /// The instance is already primary: an earlier promotion took effect.
        AlreadyPrimary(CandidateStatus),
        /// The instance should be promoted.
        Promote(InstanceId),
        /// No instance can take over yet.
        None,
    }
}

/// Returns the instance among `statuses` that was promoted after the primary `old` of `old_term`,
/// which is 0 if the term is not known.
///
/// Only a primary of a later term was promoted after `old`. One of an earlier term was replaced
/// itself, but has not noticed because it cannot reach its successors.
pub fn newer_primary<'a>(
    old: &InstanceId,
    old_term: Term,
    statuses: &'a [CandidateStatus],
) -> Option<&'a CandidateStatus> {
    let newest_term = statuses.iter().map(|status| status.term).max();
    statuses
        .iter()
        .filter(|status| status.role == Role::Primary)
        // The old primary itself may have been promoted again.
        .filter(|status| status.instance != *old || old_term > 0)
        .filter(|status| status.term > old_term && Some(status.term) >= newest_term)
        .max_by_key(|status| status.received)
}

/// Chooses among `statuses` the instance that replaces the primary `old` of `old_term`, which is 0
/// if the term is not known, where commits are acknowledged by the primary alone.
///
/// The replica that received the most loses the fewest commits. A replica that is about to leave
/// ranks last, since it would have to be replaced at once.
pub fn choose_candidate(
    old: &InstanceId,
    old_term: Term,
    statuses: &[CandidateStatus],
) -> CandidateChoice {
    if let Some(newer_primary) = newer_primary(old, old_term, statuses) {
        return CandidateChoice::AlreadyPrimary(newer_primary.clone());
    }
    statuses
        .iter()
        .filter(|status| status.instance != *old && status.role == Role::Replica)
        .max_by_key(|status| (!status.is_leaving, status.received))
        .map_or(CandidateChoice::None, |status| {
            CandidateChoice::Promote(status.instance.clone())
        })
}
