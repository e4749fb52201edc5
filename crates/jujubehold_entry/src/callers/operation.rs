//! One operation of a caller: a statement outside a transaction, or a whole transaction.

use jujubehold_core::wait_policy::WaitPolicy;

use crate::pool::WaitLimits;
use crate::prelude::*;
use crate::protocol::Route;

/// What holds for an operation from its first byte on.
#[derive(Debug, Clone)]
pub(crate) struct Operation {
    /// The database as it was configured when the operation began.
    pub(crate) route: Route,
    /// When its first byte came.
    pub(crate) began_at: Monotonic,
}

impl Operation {
    /// When a request that arrived at `arrived_at` is refused if nothing runs it.
    pub(crate) fn wait_limits(&self, arrived_at: Monotonic) -> WaitLimits {
        let policy = WaitPolicy::default();
        WaitLimits {
            priority: self.route.priority,
            give_up_at: policy.give_up_at(arrived_at, self.route.objective),
        }
    }

    /// When a request that arrived at `arrived_at` is refused if no primary is known.
    pub(crate) fn give_up_on_primary_at(&self, arrived_at: Monotonic) -> Monotonic {
        WaitPolicy::default().give_up_on_primary_at(arrived_at, self.route.objective)
    }

    /// Until when a request that arrived at `arrived_at` waits for replicas to catch up: half of the
    /// time in which its answer has its full worth.
    pub(crate) fn catch_up_until(&self, arrived_at: Monotonic) -> Monotonic {
        arrived_at + self.route.objective / 2
    }

    /// When a statement that arrived at `arrived_at` must have been answered.
    pub(crate) fn deadline(&self, arrived_at: Monotonic) -> Monotonic {
        arrived_at + self.route.statement_timeout
    }
}

/// The refusal of a request that waited for something expected in `expected_wait`.
pub(crate) fn refuse(reason: RefusalReason, expected_wait: Duration) -> Refusal {
    WaitPolicy::default().refuse(reason, expected_wait)
}
