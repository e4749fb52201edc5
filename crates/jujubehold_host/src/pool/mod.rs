//! Connections to upstreams.

mod connection;
mod pools;

pub use connection::UpstreamConnection;
pub use pools::{PooledConnection, Pools};
