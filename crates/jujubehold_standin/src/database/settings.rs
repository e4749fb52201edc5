//! The settings of a stand-in instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use jujubehold_core::prelude::InstanceId;

/// How one instance of a stand-in group is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatabaseSettings {
    /// The instance's name.
    pub name: InstanceId,
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Where its control port listens; none to open no control port.
    pub control: Option<SocketAddr>,
    /// The primary that it follows at first; none to start as the primary of term 1.
    pub primary: Option<SocketAddr>,
    /// How many connections it takes.
    pub connection_limit: usize,
    /// How many statements run at once; the others wait.
    pub slots: usize,
    /// What opening a connection costs.
    pub connect_cost: Duration,
    /// How long a statement holds its slot.
    pub service_time: Duration,
    /// How much later than received a replica's readers see a commit.
    pub apply_lag: Duration,
    /// Where its files lie; none for a directory of its own that goes with it.
    pub directory: Option<PathBuf>,
}

impl Default for DatabaseSettings {
    fn default() -> Self {
        Self {
            name: "instance".into(),
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control: None,
            primary: None,
            connection_limit: 20,
            slots: 3,
            connect_cost: Duration::from_millis(12),
            service_time: Duration::ZERO,
            apply_lag: Duration::ZERO,
            directory: None,
        }
    }
}
