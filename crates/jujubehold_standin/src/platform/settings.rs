//! The settings of the stand-in platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// How the stand-in platform is started.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// Where it listens; port 0 takes any free one.
    pub listen: SocketAddr,
    /// Where its control port listens; none to open no control port.
    pub control: Option<SocketAddr>,
    /// How long each call takes.
    pub call_time: Duration,
}

impl Default for PlatformSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            control: None,
            call_time: Duration::ZERO,
        }
    }
}
