//! Addresses that nothing listens on.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};

/// An address of loopback whose port is free for TCP and for UDP.
///
/// # Errors
/// The system has no free port.
pub fn free_address() -> std::io::Result<SocketAddr> {
    loop {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))?;
        let address = listener.local_addr()?;
        if UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
}
