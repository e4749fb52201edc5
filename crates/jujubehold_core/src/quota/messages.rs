//! What hosts tell each other about quotas.

use std::time::Duration;

use super::partition::PartitionSet;
use crate::ids::{HostId, Nonce};
use crate::value_type;

value_type! {
    /// A request for tokens of one customer.
    pub struct TokenRequest {
        /// The number of the request on the requesting host.
        pub number: u64,
        /// How many tokens are requested.
        pub tokens: u32,
        /// How many operations the host has refused since its previous request.
        pub refused: u32,
    }

    /// The answer to a request for tokens.
    pub enum TokenAnswer {
        /// The host grants tokens.
        Granted(TokenGrant),
        /// The host holds no share. Names the keeper of its failure domain, if it is known.
        NotKeeper(Option<HostId>),
    }

    /// Granted tokens.
    pub struct TokenGrant {
        /// How many.
        pub tokens: u32,
        /// The time until the next token is due.
        pub next_in: Duration,
        /// The time in which one more token becomes due.
        pub interval: Duration,
        /// The time after which the next caller that is refused should retry.
        pub retry_in: Duration,
    }

    /// A keeper's request to lease the receiver's share.
    pub struct ShareRequest {
        /// A number that distinguishes this process of the keeper from every other.
        pub process: Nonce,
        /// The number of the request in this process.
        pub number: u64,
        /// The partitions for which the share is requested.
        pub partitions: PartitionSet,
    }

    /// The answer to a keeper's request.
    pub struct ShareAnswer {
        /// The number of the request.
        pub number: u64,
        /// The partitions for which the share is leased.
        pub leased: PartitionSet,
        /// Those of them for which the share is leased with a start credit.
        pub credited: PartitionSet,
        /// When the share can be leased for the other partitions.
        pub next_in: Duration,
        /// The newest count of the hosts that the lessor knows.
        pub count: Option<CountedHosts>,
    }

    /// A count of the hosts as sent to another host.
    pub struct CountedHosts {
        /// The number of hosts whose names are recorded in the store.
        pub hosts: u32,
        /// The time since the count was requested from the store.
        pub age: Duration,
    }

    /// A keeper's message that it no longer uses what was leased to it.
    pub struct ShareRelease {
        /// The process of the keeper.
        pub process: Nonce,
        /// The number of the latest request whose leases end.
        pub number: u64,
        /// The partitions.
        pub partitions: PartitionSet,
        /// Whether the keeper is leaving.
        pub is_leaving: bool,
    }
}
