//! The TCP and UDP sockets at a host's peer address.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use crate::error::HostError;

/// The most attempts to find a port that is free for both TCP and UDP.
const MAX_PORT_ATTEMPTS: usize = 16;

/// The TCP listener for calls and the UDP socket for datagrams, at the same address.
#[derive(Debug)]
pub(crate) struct PeerSockets {
    pub(crate) address: SocketAddr,
    pub(crate) calls: TcpListener,
    pub(crate) datagrams: UdpSocket,
}

impl PeerSockets {
    /// Opens both sockets at `requested`; with port 0, at any port that is free for both.
    ///
    /// # Errors
    /// Returns an error if the host can't listen on the address.
    pub(crate) fn open(requested: SocketAddr) -> Result<Self, HostError> {
        let mut attempts = if requested.port() == 0 {
            MAX_PORT_ATTEMPTS
        } else {
            1
        };
        loop {
            attempts -= 1;
            match Self::try_open(requested) {
                Ok(sockets) => return Ok(sockets),
                Err(_) if attempts > 0 => {}
                Err(source) => {
                    let address = requested;
                    return Err(HostError::Listen { address, source });
                }
            }
        }
    }

    fn try_open(requested: SocketAddr) -> std::io::Result<Self> {
        let calls = TcpListener::bind(requested)?;
        let address = calls.local_addr()?;
        let datagrams = UdpSocket::bind(address)?;
        calls.set_nonblocking(true)?;
        datagrams.set_nonblocking(true)?;
        Ok(Self {
            address,
            calls,
            datagrams,
        })
    }
}
