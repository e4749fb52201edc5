//! Measures the memory cost of an idle caller.

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use jujubehold_pg::startup_message;

use crate::error::LabError;

const SETTLE_TIME: Duration = Duration::from_millis(500);
const READY_FOR_QUERY_IDLE: &[u8] = b"Z\0\0\0\x05I";

/// Returns the growth of this process's resident memory for each idle caller of a host in this
/// process, in bytes.
///
/// The callers are bare sockets, which use no memory of the process.
///
/// # Errors
/// Returns an error if a connection cannot be opened or the resident memory cannot be read.
pub fn idle_memory_bytes(
    target: SocketAddr,
    service: &str,
    connections: usize,
) -> Result<u64, LabError> {
    let before = resident_bytes()?;
    let mut callers = Vec::with_capacity(connections);
    for _ in 0..connections {
        callers.push(open_idle(target, service)?);
    }
    std::thread::sleep(SETTLE_TIME);
    let growth = resident_bytes()?.saturating_sub(before);
    Ok(growth / connections.max(1) as u64)
}

/// Returns the resident memory of this process, in bytes.
///
/// # Errors
/// Returns an error if the system does not report it.
pub fn resident_bytes() -> std::io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/status")?;
    let resident_kb = status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    resident_kb
        .map(|kb| kb * 1024)
        .ok_or_else(|| std::io::Error::other("VmRSS is not in /proc/self/status"))
}

fn open_idle(target: SocketAddr, service: &str) -> std::io::Result<TcpStream> {
    let mut stream = TcpStream::connect(target)?;
    let parameters = [("user", "clerk"), ("database", service)]
        .map(|(name, value)| (name.to_owned(), value.to_owned()));
    stream.write_all(&startup_message(parameters.into()))?;
    let mut greeting = Vec::new();
    let mut piece = [0; 512];
    while !greeting.ends_with(READY_FOR_QUERY_IDLE) {
        let length = stream.read(&mut piece)?;
        if length == 0 {
            return Err(std::io::ErrorKind::UnexpectedEof.into());
        }
        greeting.extend_from_slice(&piece[..length]);
    }
    Ok(stream)
}
