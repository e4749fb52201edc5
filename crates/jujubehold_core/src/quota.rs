//! Quotas: how many operations of a customer all hosts together admit.
//!
//! Each host owns a share of every quota and leases it to a keeper of its failure domain, which
//! grants tokens from the shares that it holds. Hosts request tokens and use one for each
//! operation. See docs/design/quotas.md.

mod bound;
mod bucket;
mod candidacy;
mod held_shares;
mod host_count;
mod hosts;
mod keeper;
mod lessor;
mod limit;
mod messages;
mod own_share;
mod partition;
mod share;
mod shares;
mod sources;
mod start_credit;
mod tokens;

pub use bound::{QuotaBound, TOKEN_LIFETIME};
pub use bucket::{BucketLimit, TokenBucket};
pub use host_count::{HostCount, MAX_COUNT_AGE};
pub use hosts::{QuotaHost, QuotaHosts};
pub use lessor::LEASE_LIFETIME;
pub use limit::QuotaLimit;
pub use messages::{
    CountedHosts, ShareAnswer, ShareRelease, ShareRequest, TokenAnswer, TokenGrant, TokenRequest,
};
pub use own_share::{NameRecord, OwnShare};
pub use partition::{PartitionSet, QuotaPartition};
pub use share::{Share, ShareTime};
pub use shares::{QuotaShares, ShareAction};
pub use sources::{PartitionSources, QuotaSources};
pub use start_credit::{StartCredit, min_process_age};
pub use tokens::{QuotaAction, QuotaTokens};
