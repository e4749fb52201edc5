//! Quotas: how many operations of a customer all hosts together admit.
//!
//! One host, the grantor, keeps a customer's token bucket. The other hosts request tokens from it
//! and use one for each operation. See docs/design/quotas.md.

mod bound;
mod bucket;
mod grantor;
mod hosts;
mod limit;
mod messages;
mod tokens;

pub use bound::{QuotaBound, TOKEN_LIFETIME};
pub use bucket::TokenBucket;
pub use grantor::QuotaGrantor;
pub use hosts::{OwnListing, QuotaHosts, TAKEOVER_DELAY};
pub use limit::QuotaLimit;
pub use messages::{BucketHandover, TokenAnswer, TokenGrant, TokenRequest};
pub use tokens::{QuotaAction, QuotaTokens};
