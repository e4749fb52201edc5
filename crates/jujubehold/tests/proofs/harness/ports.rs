//! Ports for processes that must know them before they start.

use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// Below the ports that the system hands out by itself.
const FIRST_PORT: u32 = 12_000;
const PORT_COUNT: u32 = 18_000;
/// How far apart two processes of the test bench start to look.
const PROCESS_STRIDE: u32 = 97;

/// An address on loopback that is free for TCP and UDP.
pub(crate) fn free_address() -> SocketAddr {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    loop {
        let step = u32::from(NEXT.fetch_add(1, Ordering::Relaxed));
        let offset = std::process::id()
            .wrapping_mul(PROCESS_STRIDE)
            .wrapping_add(step);
        let port = u16::try_from(FIRST_PORT + offset % PORT_COUNT).unwrap_or(u16::MAX);
        let address = SocketAddr::from((Ipv4Addr::LOCALHOST, port));
        if TcpListener::bind(address).is_ok() && UdpSocket::bind(address).is_ok() {
            return address;
        }
    }
}
