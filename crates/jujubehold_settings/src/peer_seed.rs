//! A host that is contacted before the list of hosts is known.

use std::net::SocketAddr;

use jujubehold_core::prelude::*;

/// A host to contact before the platform's list of hosts is known.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSeed {
    /// The host's name.
    pub host: HostId,
    /// The failure domain that the host is in.
    pub domain: DomainId,
    /// The address at which the host accepts calls from other hosts.
    pub peer_address: SocketAddr,
}
