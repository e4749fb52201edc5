//! Connections to upstreams.

mod connection;
mod pools;
mod prepared_names;

pub use connection::{CancelTarget, SendFailure, UpstreamConnection};
pub use pools::{PoolError, PooledConnection, Pools};
pub use prepared_names::PreparedNames;
