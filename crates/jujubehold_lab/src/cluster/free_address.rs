//! Addresses that nothing listens on.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// Below the ports that the system hands out by itself, so that no connection takes one between
/// its choice and its use.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 18_000;
/// How far apart two processes start to look.
const PROCESS_STRIDE: u32 = 97;

/// An address of loopback whose port is free for TCP and for UDP.
///
/// # Errors
/// No port of the range is free.
pub fn free_address() -> std::io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    for _ in 0..PORT_COUNT {
        let step = NEXT.fetch_add(1, Ordering::Relaxed);
        let offset = std::process::id()
            .wrapping_mul(PROCESS_STRIDE)
            .wrapping_add(step);
        let port = u16::try_from(FIRST_PORT + offset % PORT_COUNT).unwrap_or(u16::MAX);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return Ok(address);
        }
    }
    Err(std::io::Error::from(std::io::ErrorKind::AddrInUse))
}
