//! Finds addresses on which nothing listens.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU32, Ordering};

/// The first port of a range below the system's ephemeral ports, so that no connection takes a port
/// between its choice and its use.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 18_000;
/// The distance between the ports at which two processes start their search.
const PROCESS_STRIDE: u32 = 97;

/// Returns a loopback address whose port is free for TCP and for UDP.
///
/// # Errors
/// Returns an error if no port of the range is free.
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
