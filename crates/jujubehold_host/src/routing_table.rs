//! What the control thread tells the traffic threads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubehold_core::prelude::*;

/// The whole of what traffic needs to route a statement, as one unchanging snapshot.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// The services by name.
    pub services: BTreeMap<ServiceId, Arc<ServiceRoute>>,
    /// Whether this host is leaving and takes no new sessions.
    pub is_leaving: bool,
}

/// One service's configuration, its group as known here, and who owns its upstreams.
#[derive(Debug, Clone)]
pub struct ServiceRoute {
    /// The accepted configuration.
    pub config: Arc<ServiceConfig>,
    /// The group as known here.
    pub view: GroupView,
    /// The owners of each instance's connections, the preferred one first.
    pub owners: BTreeMap<InstanceId, Vec<Owner>>,
}

/// A host that owns connections to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The host's name.
    pub host: HostId,
    /// Where it takes other hosts' calls.
    pub peer_address: SocketAddr,
    /// Whether it is this host.
    pub is_local: bool,
}

impl ServiceRoute {
    /// Whether this host holds connections to `instance` itself.
    ///
    /// An instance without known owners is served from here, so that a host that knows no other
    /// host still works.
    pub fn is_owned_here(&self, instance: &InstanceId) -> bool {
        match self.owners.get(instance) {
            Some(owners) if !owners.is_empty() => owners.iter().any(|owner| owner.is_local),
            Some(_) | None => true,
        }
    }
}
