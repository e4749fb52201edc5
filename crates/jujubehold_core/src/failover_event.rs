//! What happens to a group, as its failover sees it.

use crate::ids::{DomainId, HostId, InstanceId, Monotonic, Nonce, Term};
use crate::instance_status::InstanceStatus;
use crate::value_type;

value_type! {
    /// An event of one group; every event comes with the time at which the host took it in.
    pub enum FailoverEvent {
        /// A probe, or traffic that proves as much, ended.
        Probed {
            /// The instance asked.
            instance: InstanceId,
            /// When the question left this host.
            sent_at: Monotonic,
            /// The answer; `None` when there was none in time.
            status: Option<InstanceStatus>,
        },
        /// An instance refused a connection because it has as many as it takes: it is alive, but
        /// says nothing of its role.
        Refused {
            /// The instance asked.
            instance: InstanceId,
            /// When the question left this host.
            sent_at: Monotonic,
        },
        /// Another host can't reach the primary of `term`.
        SuspicionHeard {
            /// The host that says so.
            host: HostId,
            /// Its failure domain.
            domain: DomainId,
            /// The term of the primary it suspects.
            term: Term,
        },
        /// Another host finds the primary of `term` late; it says no more than that this host
        /// should look for itself.
        DoubtHeard {
            /// The term of the primary it doubts.
            term: Term,
        },
        /// Another host has proof that the primary of `term` is alive.
        LivenessHeard {
            /// The host that says so.
            host: HostId,
            /// Its failure domain.
            domain: DomainId,
            /// The term of the primary it reaches.
            term: Term,
        },
        /// Another host tells of a primary.
        Announced {
            /// The term.
            term: Term,
            /// The primary.
            primary: InstanceId,
        },
        /// A fence was answered; `None` when there was no answer in time.
        Fenced {
            /// The instance asked.
            instance: InstanceId,
            /// The fence's term.
            term: Term,
            /// The fence's nonce.
            nonce: Nonce,
            /// Its status after the fence, whether granted or not.
            status: Option<InstanceStatus>,
        },
        /// The platform's service took, refused or did not answer a record.
        Recorded {
            /// The record's term.
            term: Term,
            /// What is known of the record.
            outcome: RecordOutcome,
        },
        /// A catch-up was answered; `None` when there was no answer in time.
        CaughtUp {
            /// The instance asked.
            instance: InstanceId,
            /// Its status after it fetched what it could.
            status: Option<InstanceStatus>,
        },
        /// A promotion was answered; `None` when there was no answer in time.
        Promoted {
            /// The instance asked.
            instance: InstanceId,
            /// The term it was promoted to.
            term: Term,
            /// Its status after the promotion, whether granted or not.
            status: Option<InstanceStatus>,
        },
        /// An operator ordered a change of primary.
        ChangeOrdered {
            /// The instance that is to be primary.
            instance: InstanceId,
        },
        /// Time passed.
        Tick,
    }

    /// What became of a record of a term in the platform's service.
    pub enum RecordOutcome {
        /// The record stands, also when an earlier try had written it.
        Written,
        /// Another host's record of this or a higher term stands.
        Lost {
            /// The term that stands.
            term: Term,
        },
        /// The service can't be reached or asked in time.
        Unavailable,
    }
}
