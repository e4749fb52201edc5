//! The settings of a stand-in instance.

use std::net::{Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::time::Duration;

use jujubehold_core::prelude::InstanceId;

/// The settings of a stand-in database instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct DatabaseSettings {
    /// The instance's name.
    pub name: InstanceId,
    /// The address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// The address of the control port; `None` opens no control port.
    pub control: Option<SocketAddr>,
    /// The primary that the instance replicates from initially; `None` starts it as the primary of
    /// term 1.
    pub primary: Option<SocketAddr>,
    /// The maximum number of connections from callers.
    pub connection_limit: usize,
    /// How many statements run concurrently; further ones wait.
    pub slots: usize,
    /// The artificial duration of opening a connection.
    pub connect_cost: Duration,
    /// The artificial duration for which each statement holds its slot.
    pub service_time: Duration,
    /// The delay between a replica's receiving a commit and applying it.
    pub apply_lag: Duration,
    /// The directory of the database files; `None` creates a temporary one that is removed with the
    /// instance.
    pub directory: Option<PathBuf>,
    /// Whether to record the prepared statements that run; the record only grows.
    pub records_runs: bool,
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
            records_runs: false,
        }
    }
}
