//! The settings of a fault proxy.

use std::net::{Ipv4Addr, SocketAddr};

use smol_str::SmolStr;

use crate::direction::Protocol;

/// The settings with which a fault proxy starts.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FaultSettings {
    /// The seed of the random choices.
    pub seed: u64,
    /// The address of the control port; `None` opens no control port.
    pub control: Option<SocketAddr>,
    /// The routes to open at the start.
    pub routes: Vec<RouteSettings>,
}

/// A route from one address to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSettings {
    /// The name that identifies the route in methods and commands.
    pub name: SmolStr,
    /// The protocol that the route carries.
    pub protocol: Protocol,
    /// The address at which the route listens; port 0 selects any free port.
    pub listen: SocketAddr,
    /// The address to which the route forwards.
    pub target: SocketAddr,
}

impl Default for RouteSettings {
    fn default() -> Self {
        let nowhere = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            name: SmolStr::default(),
            protocol: Protocol::Tcp,
            listen: nowhere,
            target: nowhere,
        }
    }
}
