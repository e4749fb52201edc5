//! Pools of connections to instances, shared by the sessions of this host.

mod connection;
mod lease;
mod owner_lease;
mod statement;
mod upstream;

pub(crate) use connection::UpstreamError;
pub(crate) use lease::ConnectionLease;
pub(crate) use owner_lease::{LeasePurpose, OwnerRequest};
pub(crate) use statement::{
    MAX_STATEMENT_BYTES, MAX_VALUES_BYTES, SessionValues, Statement, value_length, values_length,
};
pub(crate) use upstream::{AcquireError, OwnersBasis, Upstream, WaitLimits};
