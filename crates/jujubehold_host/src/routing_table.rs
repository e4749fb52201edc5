//! The routing table that the control thread publishes to the traffic threads.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;

use jujubehold_core::prelude::*;

/// An immutable snapshot of everything that traffic threads need to route statements.
#[derive(Debug, Clone, Default)]
pub struct RoutingTable {
    /// The services by name.
    pub services: BTreeMap<ServiceId, Arc<ServiceRoute>>,
    /// Whether this host is draining and accepts no new sessions.
    pub is_leaving: bool,
}

/// One service's configuration, this host's view of its group, and the owners of its connections.
#[derive(Debug, Clone)]
pub struct ServiceRoute {
    /// The current configuration.
    pub config: Arc<ServiceConfig>,
    /// This host's view of the group.
    pub view: GroupView,
    /// The owners of each instance's connections, in order of preference.
    pub owners: BTreeMap<InstanceId, Vec<Owner>>,
}

/// A host that owns connections to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Owner {
    /// The host's name.
    pub host: HostId,
    /// The address on which the host accepts calls from other hosts.
    pub peer_address: SocketAddr,
    /// Whether the owner is this host.
    pub is_local: bool,
}

impl ServiceRoute {
    /// Whether this host is an owner of `instance` and opens connections to it directly.
    ///
    /// An instance without known owners counts as owned by this host, so that a host that knows no
    /// other host can still serve callers.
    pub fn is_owned_here(&self, instance: &InstanceId) -> bool {
        match self.owners.get(instance) {
            Some(owners) if !owners.is_empty() => owners.iter().any(|owner| owner.is_local),
            Some(_) | None => true,
        }
    }
}
