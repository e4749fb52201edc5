//! Another host that a host asks first.

use std::net::SocketAddr;

use jujubehold_core::prelude::*;

/// A host to ask first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSeed {
    /// Its name.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it takes other hosts' calls.
    pub peer_address: SocketAddr,
}
