//! What the proxy reports about whether a request ran.

use std::time::Duration;

use crate::refusal_reason::RefusalReason;
use crate::value_type;

value_type! {
    /// What is known about a request that did not end with its upstream's own answer.
    ///
    /// `NotRun` is reported only if the statement was never sent on an upstream connection, or if
    /// its rollback was confirmed; see docs/notes/verdicts.md.
    pub enum Verdict {
        /// The request ran and its effect, if any, is as durable as the service's settings require.
        Ran,
        /// The request did not run and never will.
        NotRun(Refusal),
        /// The request may have run; it is not retried.
        Unknown(UnknownReason),
    }

    /// A refused request: the reason, and when the caller may retry.
    pub struct Refusal {
        /// Why the request was not run.
        pub reason: RefusalReason,
        /// How long the caller should wait before it retries; `None` if a retry can't succeed.
        pub retry_after: Option<Duration>,
    }
}

crate::key_type! {
    /// Why it is unknown whether a request ran.
    pub enum UnknownReason {
        /// The upstream connection broke after the request was sent on it.
        ConnectionLost,
        /// Before the answer, the primary was replaced or its authority could not be proved.
        AuthorityLost,
        /// No replica confirmed the write in time.
        NotConfirmed,
        /// The upstream did not answer before the deadline.
        TimedOut,
        /// The host that owned the upstream was lost after the request was forwarded to it.
        OwnerLost,
        /// The host had to end before the upstream answered.
        ShuttingDown,
    }
}

impl UnknownReason {
    /// All reasons, in the order of the metrics page.
    pub const ALL: [Self; 6] = [
        Self::ConnectionLost,
        Self::AuthorityLost,
        Self::NotConfirmed,
        Self::TimedOut,
        Self::OwnerLost,
        Self::ShuttingDown,
    ];

    /// Returns the stable name used in metrics and logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::ConnectionLost => "connection_lost",
            Self::AuthorityLost => "authority_lost",
            Self::NotConfirmed => "not_confirmed",
            Self::TimedOut => "timed_out",
            Self::OwnerLost => "owner_lost",
            Self::ShuttingDown => "shutting_down",
        }
    }

    /// Returns the SQLSTATE that the caller receives: PostgreSQL's "transaction resolution
    /// unknown".
    pub fn sqlstate(self) -> &'static str {
        "08007"
    }
}

impl Refusal {
    /// Creates a refusal after which the caller may retry in `retry_after`.
    pub fn transient(reason: RefusalReason, retry_after: Duration) -> Self {
        Self {
            reason,
            retry_after: Some(retry_after),
        }
    }

    /// Creates a refusal that a retry can't change.
    pub fn permanent(reason: RefusalReason) -> Self {
        Self {
            reason,
            retry_after: None,
        }
    }
}
