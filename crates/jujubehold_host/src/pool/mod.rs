//! Connections to upstreams, and pools of them.

mod connection;
mod open_error;
mod pools;
mod prepared_names;

pub use connection::{CancelTarget, SendFailure, UpstreamConnection};
pub use open_error::OpenError;
pub use pools::{PoolError, PooledConnection, Pools};
pub use prepared_names::PreparedNames;
