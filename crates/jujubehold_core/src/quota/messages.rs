//! What hosts tell each other about quotas.

use std::time::Duration;

use crate::ids::HostId;
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
        /// Whether the receiver is asked instead of a host that did not answer.
        pub is_for_backup: bool,
    }

    /// The answer to a request for tokens.
    pub enum TokenAnswer {
        /// The host grants tokens.
        Granted(TokenGrant),
        /// The host does not grant for this customer. Names the host that does, if it is known.
        NotGrantor(Option<HostId>),
    }

    /// Granted tokens.
    pub struct TokenGrant {
        /// How many.
        pub tokens: u32,
        /// Whether they are from the customer's bucket, not from a backup bucket.
        pub is_full: bool,
        /// The time until the next token is due.
        pub next_in: Duration,
        /// The time in which one more token becomes due.
        pub interval: Duration,
        /// The time after which the next caller that is refused should retry.
        pub retry_in: Duration,
    }

    /// A customer's bucket on its way to the host that grants from now on.
    pub struct BucketHandover {
        /// The host that grants from now on.
        pub to: HostId,
        /// A number that distinguishes this handover from every other.
        pub nonce: u64,
        /// The tokens in the bucket.
        pub tokens: u32,
    }
}
