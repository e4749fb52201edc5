//! The settings of the stand-in platform.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The settings of a stand-in platform.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PlatformSettings {
    /// The address to listen on; port 0 selects any free port.
    pub listen: SocketAddr,
    /// The address of the control port; `None` opens no control port.
    pub control: Option<SocketAddr>,
    /// The artificial delay of each call.
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
