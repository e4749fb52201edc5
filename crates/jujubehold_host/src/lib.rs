//! The entry host: callers on one side, upstreams, other hosts and the platform on the other.
//!
//! One thread keeps the control state: configuration, groups, membership and failover. The others
//! carry traffic and see the control state as a [`routing_table::RoutingTable`] that the control
//! thread publishes. All decisions are `jujubehold_core`'s. See docs/ARCHITECTURE.md.

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
