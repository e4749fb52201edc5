//! Actions that a group's failover asks the host to take.

use crate::ids::{InstanceId, Nonce, Position, Term};
use crate::value_type;

value_type! {
    /// An action on one group. Each action may be taken twice, or by two hosts, without harm.
    pub enum FailoverAction {
        /// Ask an instance for its status.
        Probe {
            /// The instance to ask.
            instance: InstanceId,
        },
        /// Ask the group's other watchers to probe the primary of `term`, which is late to answer.
        ShareDoubt {
            /// The term of the doubted primary.
            term: Term,
        },
        /// Tell the group's other watchers that this host suspects the primary of `term`.
        ShareSuspicion {
            /// The term of the suspected primary.
            term: Term,
        },
        /// Tell the group's other watchers, one of which suspects the primary of `term`, that this
        /// host reaches it.
        ShareLiveness {
            /// The term of the reachable primary.
            term: Term,
        },
        /// Record the attempt in the platform's key-value service by compare-and-swap.
        Record {
            /// The new term.
            term: Term,
            /// The attempt's nonce.
            nonce: Nonce,
        },
        /// Fence an instance, so that it accepts nothing of a lower term.
        Fence {
            /// The instance to fence.
            instance: InstanceId,
            /// The new term.
            term: Term,
            /// The attempt's nonce.
            nonce: Nonce,
        },
        /// Make an instance fetch missing log entries from another one, up to a position, before it
        /// is promoted.
        CatchUp {
            /// The instance to promote.
            instance: InstanceId,
            /// The instance with the more advanced log.
            from: InstanceId,
            /// The position to reach.
            position: Position,
        },
        /// Make an instance the primary of a term for which it is fenced.
        Promote {
            /// The instance to promote.
            instance: InstanceId,
            /// The new term.
            term: Term,
            /// The attempt's nonce.
            nonce: Nonce,
        },
        /// Make an instance follow the new primary and drop the log entries that are not in the
        /// primary's history.
        Follow {
            /// The instance that follows.
            instance: InstanceId,
            /// The primary.
            primary: InstanceId,
            /// The primary's term.
            term: Term,
        },
        /// Tell every host that serves the group which instance is its primary.
        Announce {
            /// The primary's term.
            term: Term,
            /// The primary.
            primary: InstanceId,
        },
    }
}
