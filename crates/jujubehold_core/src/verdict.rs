//! Whether a request may have run.

use std::time::Duration;

use crate::refusal_reason::RefusalReason;
use crate::value_type;

value_type! {
    /// What is known of a request that did not end with its upstream's own answer.
    ///
    /// `NotRun` is said only when the statement was never handed to an upstream connection, or when
    /// its rollback was confirmed; see docs/notes/verdicts.md.
    pub enum Verdict {
        /// The request ran and its effect, if any, is durable by the service's setting.
        Ran,
        /// The request did not run and never will.
        NotRun(Refusal),
        /// The request may have run; it is not sent again.
        Unknown(UnknownReason),
    }

    /// A refusal: the reason, and when the caller may come back.
    pub struct Refusal {
        /// Why the request was not run.
        pub reason: RefusalReason,
        /// How long the caller should wait before it asks again; `None` when asking again can't
        /// help.
        pub retry_after: Option<Duration>,
    }
}

crate::key_type! {
    /// Why it can't be known whether a request ran.
    pub enum UnknownReason {
        /// The upstream connection broke after the request was handed to it.
        ConnectionLost,
        /// The primary was replaced, or its authority could not be proved, before the answer.
        AuthorityLost,
        /// No replica confirmed the write in time.
        NotConfirmed,
        /// The upstream's answer did not come before the deadline.
        TimedOut,
        /// The host that owned the upstream was lost after the request was handed to it.
        OwnerLost,
    }
}

impl UnknownReason {
    /// Every reason, in the order of the metrics page.
    pub const ALL: [Self; 5] = [
        Self::ConnectionLost,
        Self::AuthorityLost,
        Self::NotConfirmed,
        Self::TimedOut,
        Self::OwnerLost,
    ];

    /// The stable name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::AuthorityLost => "authority_lost",
            Self::NotConfirmed => "not_confirmed",
            Self::TimedOut => "timed_out",
            Self::OwnerLost => "owner_lost",
        }
    }

    /// The SQLSTATE that a caller sees: PostgreSQL's "transaction resolution unknown".
    pub fn sqlstate(self) -> &'static str {
        "08007"
    }
}

impl Refusal {
    /// A refusal after which the caller may come back in `retry_after`.
    pub fn transient(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// A refusal that asking again can't change.
    pub fn permanent(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}
