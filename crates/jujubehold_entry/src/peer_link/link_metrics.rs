//! The counters of links, registered once.

use metrics::{Counter, counter};

use crate::metric_names::{OWNER_LEASES, PEER_LINK_BYTES, PEER_LINK_OPENS};

/// The counters of the links that this host opened or accepted.
#[derive(Debug)]
pub(crate) struct LinkMetrics {
    /// Links that this host opened.
    pub(crate) opens: Counter,
    /// Leases that this host began at owners.
    pub(crate) begun_leases: Counter,
    /// Leases of other hosts that this host served as an owner.
    pub(crate) served_leases: Counter,
    pub(crate) sent_bytes: Counter,
    pub(crate) received_bytes: Counter,
}

impl Default for LinkMetrics {
    fn default() -> Self {
        let leases = |role| counter!(OWNER_LEASES, "role" => role);
        let bytes = |direction| counter!(PEER_LINK_BYTES, "direction" => direction);
        Self {
            opens: counter!(PEER_LINK_OPENS),
            begun_leases: leases("caller_host"),
            served_leases: leases("owner"),
            sent_bytes: bytes("sent"),
            received_bytes: bytes("received"),
        }
    }
}
