//! The errors that prevent a host from starting.

use std::net::SocketAddr;

use thiserror::Error;

use crate::security::SecurityError;

/// An error that prevents a host from starting.
#[derive(Debug, Error)]
pub enum HostError {
    /// The host can't listen on an address.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// An address is not on loopback, TLS is not configured and the settings don't allow cleartext.
    #[error("{address} is not on loopback, and there is no TLS; set [tls] or allow_cleartext")]
    Exposed {
        /// The address.
        address: SocketAddr,
    },
    /// The host's TLS identity can't be used.
    #[error(transparent)]
    Security(#[from] SecurityError),
    /// The operating system refused to start a thread.
    #[error("can't start a thread: {0}")]
    Thread(std::io::Error),
}
