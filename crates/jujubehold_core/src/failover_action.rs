//! What a group's failover asks of the host.

use crate::ids::{InstanceId, Nonce, Position, Term};
use crate::value_type;

value_type! {
    /// An action on one group. Each may be done twice, or by two hosts, without harm.
    pub enum FailoverAction {
        /// Ask an instance for its status.
        Probe {
            /// The instance to ask.
            instance: InstanceId,
        },
        /// Have the group's other watchers look at the primary of `term`, which is late.
        ShareDoubt {
            /// The doubted term.
            term: Term,
        },
        /// Tell the group's other watchers that the primary of `term` can't be reached.
        ShareSuspicion {
            /// The suspected term.
            term: Term,
        },
        /// Answer the group's other watchers, of whom one suspects the primary of `term`, that this
        /// host reaches it.
        ShareLiveness {
            /// The term of the living primary.
            term: Term,
        },
        /// Write the attempt down in the platform's service by compare-and-swap.
        Record {
            /// The new term.
            term: Term,
            /// The attempt's nonce.
            nonce: Nonce,
        },
        /// Have an instance take nothing of a lower term any more.
        Fence {
            /// The instance to fence.
            instance: InstanceId,
            /// The new term.
            term: Term,
            /// The attempt's nonce.
            nonce: Nonce,
        },
        /// Have an instance fetch from another what it lacks, up to a position, before it is
        /// promoted.
        CatchUp {
            /// The instance that is to be primary.
            instance: InstanceId,
            /// The instance that is ahead.
            from: InstanceId,
            /// The position to reach.
            position: Position,
        },
        /// Make an instance the primary of a term that it is fenced at.
        Promote {
            /// The instance.
            instance: InstanceId,
            /// The new term.
            term: Term,
            /// The attempt's nonce.
            nonce: Nonce,
        },
        /// Have an instance follow the new primary, dropping what history has cut.
        Follow {
            /// The instance that follows.
            instance: InstanceId,
            /// The primary.
            primary: InstanceId,
            /// The primary's term.
            term: Term,
        },
        /// Tell all who serve the group of its primary.
        Announce {
            /// The term.
            term: Term,
            /// The primary.
            primary: InstanceId,
        },
    }
}
