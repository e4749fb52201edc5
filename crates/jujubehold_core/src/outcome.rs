//! Whether a statement may be sent again.
//!
//! A statement that is not idempotent runs at most once: it is sent again only when it surely did
//! not run. See docs/notes/verdicts.md.

use crate::value_type;
use crate::verdict::{UnknownReason, Verdict};

crate::key_type! {
    /// How far a statement had come when its attempt ended.
    pub enum AttemptProgress {
        /// It was never handed to an upstream connection.
        NotSent,
        /// The upstream refused it, and said so.
        Refused,
        /// Its transaction was rolled back, and the upstream said so.
        RolledBack,
        /// It was handed over, and no answer tells what became of it.
        Sent,
        /// The upstream answered that it ran.
        Answered,
    }

    /// What the upstream's outcome table says of a request id.
    pub enum OutcomeLookup {
        /// The request's record is there: it ran.
        Found,
        /// The table was read on an instance that took itself for the primary, and has no record.
        Absent,
        /// The table could not be read.
        Unavailable,
    }

    /// What to do with a request after an attempt at it ended.
    pub enum RerunDecision {
        /// It surely did not run; it may be sent again.
        MayRun,
        /// It ran; the caller is told so, and it is not sent.
        AlreadyRan,
        /// It can't be known; the caller is told so, and it is not sent.
        StillUnknown,
    }
}

value_type! {
    /// What is known of a request before it is sent once more.
    pub struct RequestHistory {
        /// Whether the statement may run twice without harm.
        pub is_idempotent: bool,
        /// Whether the caller named the request, so that its outcome is on record.
        pub has_request_id: bool,
        /// How far the furthest attempt came.
        pub progress: AttemptProgress,
        /// What the outcome table said; `None` when it was not asked.
        pub lookup: Option<OutcomeLookup>,
    }
}

/// Decides whether a request may be sent.
///
/// A named request writes a unique record in its own transaction, so of two attempts only one can
/// commit. That makes sending it safe although an earlier attempt elsewhere may be under way.
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
        // A primary that can't be asked can't run it either; the caller is told at once.
        Some(OutcomeLookup::Unavailable) | None => RerunDecision::StillUnknown,
    }
}

/// The verdict that a caller gets when the request is not sent again.
///
/// `None` when it may run, so that there is no verdict yet.
pub fn verdict(decision: RerunDecision, reason: UnknownReason) -> Option<Verdict> {
    match decision {
        RerunDecision::MayRun => None,
        RerunDecision::AlreadyRan => Some(Verdict::Ran),
        RerunDecision::StillUnknown => Some(Verdict::Unknown(reason)),
    }
}
