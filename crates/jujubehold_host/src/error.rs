//! Why a host could not start or go on.

use std::net::SocketAddr;

use thiserror::Error;

use crate::security::SecurityError;

/// A fault that ends the host.
#[derive(Debug, Error)]
pub enum HostError {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: std::io::Error,
    },
    /// The host would listen off loopback without TLS, which the settings don't allow.
    #[error("{address} is not on loopback, and there is no TLS; set [tls] or allow_cleartext")]
    Exposed {
        /// The address.
        address: SocketAddr,
    },
    /// The host's TLS identity can't be used.
    #[error(transparent)]
    Security(#[from] SecurityError),
    /// A thread can't be started.
    #[error("can't start a thread: {0}")]
    Thread(std::io::Error),
}
