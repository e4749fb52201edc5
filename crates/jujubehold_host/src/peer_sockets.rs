//! The two sockets at a host's peer address.

use std::net::{SocketAddr, TcpListener, UdpSocket};

use crate::error::HostError;

/// How often a free port is looked for that both sockets can have.
const MAX_TRIES: usize = 16;

/// The socket for calls and the socket for datagrams, at the same address.
#[derive(Debug)]
pub(crate) struct PeerSockets {
    pub(crate) address: SocketAddr,
    pub(crate) calls: TcpListener,
    pub(crate) datagrams: UdpSocket,
}

impl PeerSockets {
    /// Opens both at `wanted`; with port 0, at any port that is free for both.
    ///
    /// # Errors
    /// The address can't be listened on.
    pub(crate) fn open(wanted: SocketAddr) -> Result<Self, HostError> {
        let mut tries = if wanted.port() == 0 { MAX_TRIES } else { 1 };
        loop {
            tries -= 1;
            match Self::try_open(wanted) {
                Ok(sockets) => return Ok(sockets),
                Err(_) if tries > 0 => {}
                Err(source) => {
                    let address = wanted;
                    return Err(HostError::Listen { address, source });
                }
            }
        }
    }

    fn try_open(wanted: SocketAddr) -> std::io::Result<Self> {
        let calls = TcpListener::bind(wanted)?;
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
