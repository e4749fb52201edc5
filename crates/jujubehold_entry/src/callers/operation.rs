//! One operation of a caller: a statement outside a transaction, or a whole transaction.

use jujubehold_core::wait_policy::WaitPolicy;

use crate::pool::WaitLimits;
use crate::prelude::*;
use crate::protocol::Route;

/// The properties of an operation that are fixed when it begins.
#[derive(Debug, Clone)]
pub(crate) struct Operation {
    /// The database as it was configured when the operation began.
    pub(crate) route: Route,
    /// The customer on whose behalf it runs, if callers are identified.
    pub(crate) customer: Option<CustomerId>,
    /// When the operation's first statement arrived.
    pub(crate) began_at: Monotonic,
    /// When it has to end because its caller's key was revoked.
    pub(crate) ends_at: Option<Monotonic>,
}

impl Operation {
    /// Returns the priority and the time limit with which a request that arrived at `arrived_at`
    /// waits for a connection.
    pub(crate) fn wait_limits(&self, arrived_at: Monotonic) -> WaitLimits {
        let policy = WaitPolicy::default();
        WaitLimits {
            priority: self.route.priority,
            give_up_at: self.not_after_end(policy.give_up_at(arrived_at, self.route.objective)),
        }
    }

    /// Returns when a request that arrived at `arrived_at` is refused if no primary is known.
    pub(crate) fn give_up_on_primary_at(&self, arrived_at: Monotonic) -> Monotonic {
        let policy = WaitPolicy::default();
        self.not_after_end(policy.give_up_on_primary_at(arrived_at, self.route.objective))
    }

    /// Returns until when a request that arrived at `arrived_at` waits for replicas to catch up:
    /// for half of the objective, the time within which the operation should complete.
    pub(crate) fn catch_up_until(&self, arrived_at: Monotonic) -> Monotonic {
        arrived_at + self.route.objective / 2
    }

    /// Returns when a statement that arrived at `arrived_at` times out.
    pub(crate) fn deadline(&self, arrived_at: Monotonic) -> Monotonic {
        self.not_after_end(arrived_at + self.route.statement_timeout)
    }

    fn not_after_end(&self, time: Monotonic) -> Monotonic {
        self.ends_at.map_or(time, |ends_at| ends_at.min(time))
    }
}

/// Creates the refusal of a request that could be served after `expected_wait`.
pub(crate) fn refuse(reason: RefusalReason, expected_wait: Duration) -> Refusal {
    WaitPolicy::default().refuse(reason, expected_wait)
}
