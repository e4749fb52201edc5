//! Forwarding of the bytes in one direction of a connection.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::direction::Direction;
use crate::route::{Route, draw_delay};

/// The maximum number of bytes per read.
const READ_BYTES: usize = 16 * 1024;
/// The maximum number of chunks read but not yet delivered; more data stays in the sender's buffer.
const MAX_UNDELIVERED_CHUNKS: usize = 256;

/// How one direction of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The sender closed its side, and the close was forwarded.
    Closed,
    /// The receiver is gone; bytes that it sent before may still be in transit in the other
    /// direction.
    ReceiverGone,
    /// The connection must be reset.
    Reset,
}

/// Bytes that were read, with the time of their delivery. Empty bytes mean that the sender closed
/// its side.
struct Chunk {
    due_at: Instant,
    bytes: Bytes,
}

/// Forwards bytes from one stream to the other until the direction ends.
pub(crate) async fn pump(
    route: &Route,
    direction: Direction,
    from: &TcpStream,
    to: &TcpStream,
    number: u64,
) -> End {
    let mut random = route.random(number, direction);
    let mut undelivered: VecDeque<Chunk> = VecDeque::new();
    let mut is_eof = false;
    let mut is_reset = false;
    loop {
        if is_reset && undelivered.is_empty() {
            return End::Reset;
        }
        let due_at = undelivered.front().map(|chunk| chunk.due_at);
        let can_read = !is_eof && undelivered.len() < MAX_UNDELIVERED_CHUNKS;
        tokio::select! {
            biased;
            () = wait_until_due(route, direction, due_at) => {
                let Some(chunk) = undelivered.pop_front() else { continue };
                if let Some(end) = deliver(route, direction, to, chunk).await {
                    return end;
                }
            }
            read = read_chunk(from), if can_read => {
                // Bytes that arrived before a reset are delivered before it.
                let Ok(bytes) = read else {
                    is_eof = true;
                    is_reset = true;
                    continue;
                };
                is_eof = bytes.is_empty();
                let due_at = next_due_at(route, direction, &undelivered, &mut random);
                undelivered.push_back(Chunk { due_at, bytes });
            }
        }
    }
}

async fn wait_until_due(route: &Route, direction: Direction, due_at: Option<Instant>) {
    match due_at {
        Some(due_at) => tokio::time::sleep_until(due_at).await,
        None => std::future::pending().await,
    }
    route
        .wait_until(|faults| !faults.link(direction).is_stalled)
        .await;
}

async fn read_chunk(from: &TcpStream) -> std::io::Result<Bytes> {
    loop {
        from.readable().await?;
        let mut buffer = BytesMut::with_capacity(READ_BYTES);
        match from.try_read_buf(&mut buffer) {
            Ok(_) => return Ok(buffer.freeze()),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
}

/// Returns when a chunk that is read now is delivered, which is never before the preceding chunk.
fn next_due_at(
    route: &Route,
    direction: Direction,
    undelivered: &VecDeque<Chunk>,
    random: &mut StdRng,
) -> Instant {
    let link = route.link(direction);
    let delay = if link.jitter.is_zero() {
        link.delay
    } else {
        draw_delay(&link, random)
    };
    let due_at = if delay == Duration::ZERO {
        Instant::now()
    } else {
        Instant::now() + delay
    };
    undelivered
        .back()
        .map_or(due_at, |last| due_at.max(last.due_at))
}

/// Delivers a chunk subject to the current faults; returns an end if the direction ends.
async fn deliver(route: &Route, direction: Direction, to: &TcpStream, chunk: Chunk) -> Option<End> {
    if route.link(direction).is_cut {
        // Lost bytes leave a gap in the stream, so the connection can't continue.
        route
            .wait_until(|faults| !faults.link(direction).is_cut)
            .await;
        return Some(End::Reset);
    }
    if chunk.bytes.is_empty() {
        let is_closed = shut_down_write(to).is_ok();
        return Some(if is_closed {
            End::Closed
        } else {
            End::ReceiverGone
        });
    }
    // The byte limit may fall within a chunk; the bytes before it are delivered.
    let allowed = route.take_byte_allowance(direction, chunk.bytes.len());
    let is_whole = allowed == chunk.bytes.len();
    if write_all(to, chunk.bytes.slice(..allowed)).await.is_err() {
        return Some(End::ReceiverGone);
    }
    (!is_whole).then_some(End::Reset)
}

async fn write_all(to: &TcpStream, mut bytes: Bytes) -> std::io::Result<()> {
    while !bytes.is_empty() {
        to.writable().await?;
        match to.try_write(&bytes) {
            Ok(count) => bytes.advance(count),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return Err(error),
        }
    }
    Ok(())
}

fn shut_down_write(to: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(to).shutdown(std::net::Shutdown::Write)
}
