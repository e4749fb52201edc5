//! The settings of a fault proxy.

use std::net::{Ipv4Addr, SocketAddr};

use smol_str::SmolStr;

use crate::direction::Protocol;

/// How a fault proxy is started.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct FaultSettings {
    /// What the random choices start from.
    pub seed: u64,
    /// Where the control port listens; none to open no control port.
    pub control: Option<SocketAddr>,
    /// The routes that stand from the start.
    pub routes: Vec<RouteSettings>,
}

/// A route from one address to another.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RouteSettings {
    /// The name by which the route is steered.
    pub name: SmolStr,
    /// Connections or datagrams.
    pub protocol: Protocol,
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Where it passes on to.
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
