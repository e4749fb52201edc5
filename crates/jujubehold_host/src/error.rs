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
    /// The host's TLS identity can't be used.
    #[error(transparent)]
    Security(#[from] SecurityError),
    /// A thread can't be started.
    #[error("can't start a thread: {0}")]
    Thread(std::io::Error),
}
