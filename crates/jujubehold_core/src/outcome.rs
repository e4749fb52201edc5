//! Decides whether a statement may be sent again after an attempt failed.
//!
//! A statement that is not idempotent runs at most once: it is sent again only if it is known not
//! to have run. See docs/notes/verdicts.md.

use crate::value_type;
use crate::verdict::{UnknownReason, Verdict};

crate::key_type! {
    /// How far an attempt at a statement got before it ended.
    pub enum AttemptProgress {
        /// The statement was never sent on an upstream connection.
        NotSent,
        /// The upstream answered that it refused the statement.
        Refused,
        /// The upstream answered that it rolled back the statement's transaction.
        RolledBack,
        /// The statement was sent, and no answer shows whether it ran.
        Sent,
        /// The upstream answered that the statement ran.
        Answered,
    }

    /// The result of looking up a request id in the upstream's outcome table.
    pub enum OutcomeLookup {
        /// The table has a record of the request: it ran.
        Found,
        /// The table has no record of the request. It was read on an instance that considered
        /// itself the primary.
        Absent,
        /// The table could not be read.
        Unavailable,
    }

    /// What to do with a request after an attempt at it failed.
    pub enum RerunDecision {
        /// The request may be sent again.
        MayRun,
        /// The request ran; report this to the caller and don't send it again.
        AlreadyRan,
        /// The request may have run; report this to the caller and don't send it again.
        StillUnknown,
    }
}

value_type! {
    /// What is known about a request before it is sent again.
    pub struct RequestHistory {
        /// Whether the statement may run twice without harm.
        pub is_idempotent: bool,
        /// Whether the caller named the request, so that its outcome is recorded.
        pub has_request_id: bool,
        /// How far the most advanced attempt got.
        pub progress: AttemptProgress,
        /// The result of the outcome table lookup; `None` if there was no lookup.
        pub lookup: Option<OutcomeLookup>,
    }
}

/// Decides whether a request may be sent again.
///
/// A named request writes a unique record in its own transaction, so only one of two attempts can
/// commit. It is therefore safe to send it while an earlier attempt elsewhere may still be running.
pub fn decide_rerun(history: &RequestHistory) -> RerunDecision {
    if history.has_request_id && history.lookup == Some(OutcomeLookup::Found) {
        return RerunDecision::AlreadyRan;
    }
    match history.progress {
        AttemptProgress::Answered => RerunDecision::AlreadyRan,
        AttemptProgress::NotSent | AttemptProgress::Refused | AttemptProgress::RolledBack => {
            RerunDecision::MayRun
        }
        AttemptProgress::Sent => decide_after_sent(history),
    }
}

fn decide_after_sent(history: &RequestHistory) -> RerunDecision {
    if history.is_idempotent {
        return RerunDecision::MayRun;
    }
    if !history.has_request_id {
        return RerunDecision::StillUnknown;
    }
    match history.lookup {
        Some(OutcomeLookup::Found) => RerunDecision::AlreadyRan,
        Some(OutcomeLookup::Absent) => RerunDecision::MayRun,
        // A primary whose table can't be read can't run the request either, so the caller gets the
        // verdict at once.
        Some(OutcomeLookup::Unavailable) | None => RerunDecision::StillUnknown,
    }
}

/// Returns the verdict for the caller of a request that is not sent again.
///
/// Returns `None` if the request may run, since there is no verdict yet.
pub fn verdict(decision: RerunDecision, reason: UnknownReason) -> Option<Verdict> {
    match decision {
        RerunDecision::MayRun => None,
        RerunDecision::AlreadyRan => Some(Verdict::Ran),
        RerunDecision::StillUnknown => Some(Verdict::Unknown(reason)),
    }
}
