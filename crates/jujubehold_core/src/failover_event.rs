//! Events that a group's failover reacts to.

use crate::ids::{DomainId, HostId, InstanceId, Monotonic, Nonce, Term};
use crate::instance_status::InstanceStatus;
use crate::value_type;

value_type! {
    /// An event of one group. Each event is passed on with the time at which the host received it.
    pub enum FailoverEvent {
        /// A probe ended, or the host's traffic gave the same evidence as a probe.
        Probed {
            /// The instance that was asked.
            instance: InstanceId,
            /// When the request was sent.
            sent_at: Monotonic,
            /// The answer; `None` if none came in time.
            status: Option<InstanceStatus>,
        },
        /// An instance refused a connection because it is at its connection limit. It is alive, but
        /// its role is unknown.
        Refused {
            /// The instance that was asked.
            instance: InstanceId,
            /// When the request was sent.
            sent_at: Monotonic,
        },
        /// Another host cannot reach the primary of `term`.
        SuspicionReceived {
            /// The reporting host.
            host: HostId,
            /// The failure domain of the reporting host.
            domain: DomainId,
            /// The term of the suspected primary.
            term: Term,
        },
        /// Another host finds the primary of `term` late to answer. This is not a suspicion; it
        /// only asks this host to probe the primary itself.
        DoubtReceived {
            /// The term of the doubted primary.
            term: Term,
        },
        /// Another host has proof that the primary of `term` is alive.
        LivenessReceived {
            /// The reporting host.
            host: HostId,
            /// The failure domain of the reporting host.
            domain: DomainId,
            /// The term of the primary that it reaches.
            term: Term,
        },
        /// Another host announced a primary.
        Announced {
            /// The primary's term.
            term: Term,
            /// The primary.
            primary: InstanceId,
        },
        /// A fence request ended; its status is `None` if no answer came in time.
        Fenced {
            /// The instance that was asked.
            instance: InstanceId,
            /// The fence's term.
            term: Term,
            /// The fence's nonce.
            nonce: Nonce,
            /// The instance's status after the request, whether it granted the fence or not.
            status: Option<InstanceStatus>,
        },
        /// The platform's key-value service accepted, refused or did not answer a record.
        Recorded {
            /// The record's term.
            term: Term,
            /// The outcome of the write.
            outcome: RecordOutcome,
        },
        /// A catch-up request ended; its status is `None` if no answer came in time.
        CaughtUp {
            /// The instance that was asked.
            instance: InstanceId,
            /// The instance's status after it fetched what it could.
            status: Option<InstanceStatus>,
        },
        /// A promotion request ended; its status is `None` if no answer came in time.
        Promoted {
            /// The instance that was asked.
            instance: InstanceId,
            /// The term of the promotion.
            term: Term,
            /// The instance's status after the request, whether it was promoted or not.
            status: Option<InstanceStatus>,
        },
        /// An operator requested a change of primary.
        ChangeRequested {
            /// The instance to promote.
            instance: InstanceId,
        },
        /// Time passed.
        Tick,
    }

    /// The outcome of recording a term in the platform's key-value service.
    pub enum RecordOutcome {
        /// The record is stored; an earlier try may have written it.
        Written,
        /// Another host's record of this or a higher term is stored.
        Lost {
            /// The recorded term.
            term: Term,
        },
        /// The service could not be reached, or did not answer in time.
        Unavailable,
    }
}
