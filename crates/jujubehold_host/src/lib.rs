//! The entry host, which connects callers to upstreams, other hosts and the platform's key-value
//! service.
//!
//! The control thread owns the control state: configuration, groups, membership and failover. The
//! traffic threads serve callers and read the control state from the
//! [`routing_table::RoutingTable`] that the control thread publishes. `jujubehold_core` makes all
//! decisions. See docs/ARCHITECTURE.md.

pub mod activity;
pub mod clock;
pub mod control;
pub mod drain_phase;
pub mod error;
pub mod host;
mod host_thread;
pub mod metric_names;
pub mod metrics_page;
pub mod observation;
pub mod peer;
mod peer_sockets;
pub mod platform;
pub mod pool;
mod pool_cleanup;
pub mod routing_table;
pub mod security;
pub mod shared;
pub mod traffic;

pub use drain_phase::DrainPhase;
pub use error::HostError;
pub use host::{Host, run};
