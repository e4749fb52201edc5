//! Links over which hosts run statements on the connections of other hosts.
//!
//! One TCP connection per pair of hosts carries all leases in one direction: the host that opened
//! it acquires, the other owns the connections. See docs/design/connection-owners.md.

mod frame;
mod framing;
mod link;
mod link_io;
mod link_metrics;
mod links;
mod served_lease;
mod server;

pub(crate) use frame::{
    AcquireMessage, EXACT_STATEMENTS_PROTOCOL, FIRST_PROTOCOL, FailedReason, FrameBody,
    RefusedMessage, RefusedReason, RunKind, RunMessage, millis_u32,
};
pub(crate) use link::{LinkAnswer, PeerLink};
pub(crate) use links::{PeerLinks, monitor_links};
pub(crate) use server::{ServerLinks, accept_links};
