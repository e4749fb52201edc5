//! Pools of connections to instances, shared by the sessions of this host.

mod connection;
mod lease;
mod owner_lease;
mod upstream;

pub(crate) use connection::{SessionValues, Statement, UpstreamError};
pub(crate) use lease::ConnectionLease;
pub(crate) use owner_lease::{LeasePurpose, OwnerRequest};
pub(crate) use upstream::{AcquireError, OwnersBasis, Upstream, WaitLimits};
