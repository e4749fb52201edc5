//! Passes the bytes of one direction of a connection on.

use std::collections::VecDeque;
use std::io::ErrorKind;
use std::time::Duration;

use bytes::{Buf, Bytes, BytesMut};
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::direction::Direction;
use crate::route::{Route, draw_delay};

/// How many bytes are read at once.
const READ_BYTES: usize = 16 * 1024;
/// How many pieces may be on their way; more are left to the sender's own buffer.
const MAX_PIECES: usize = 256;

/// How one direction of a connection ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum End {
    /// The sender closed its side, and this was passed on.
    Closed,
    /// The receiver is gone; what it sent before may still be on its way back.
    ReceiverGone,
    /// The connection is to be reset.
    Reset,
}

/// What was read; no bytes stand for the sender's closing.
struct Piece {
    due_at: Instant,
    bytes: Bytes,
}

/// Passes bytes from one stream to the other until the direction ends.
pub(crate) async fn pump(
    route: &Route,
    direction: Direction,
    from: &TcpStream,
    to: &TcpStream,
    number: u64,
) -> End {
    let mut random = route.random(number, direction);
    let mut on_the_way: VecDeque<Piece> = VecDeque::new();
    let mut is_at_end = false;
    let mut is_broken = false;
    loop {
        if is_broken && on_the_way.is_empty() {
            return End::Reset;
        }
        let due_at = on_the_way.front().map(|piece| piece.due_at);
        let can_read = !is_at_end && on_the_way.len() < MAX_PIECES;
        tokio::select! {
            biased;
            () = until_due(route, direction, due_at) => {
                let Some(piece) = on_the_way.pop_front() else { continue };
                if let Some(end) = deliver(route, direction, to, piece).await {
                    return end;
                }
            }
            read = read_some(from), if can_read => {
                // What came ahead of a reset arrives ahead of it.
                let Ok(bytes) = read else {
                    is_at_end = true;
                    is_broken = true;
                    continue;
                };
                is_at_end = bytes.is_empty();
                let due_at = next_due(route, direction, &on_the_way, &mut random);
                on_the_way.push_back(Piece { due_at, bytes });
            }
        }
    }
}

async fn until_due(route: &Route, direction: Direction, due_at: Option<Instant>) {
    match due_at {
        Some(due_at) => tokio::time::sleep_until(due_at).await,
        None => std::future::pending().await,
    }
    route
        .until(|faults| !faults.link(direction).is_stalled)
        .await;
}

async fn read_some(from: &TcpStream) -> std::io::Result<Bytes> {
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

/// When a piece that is read now arrives: never before the one in front of it.
fn next_due(
    route: &Route,
    direction: Direction,
    on_the_way: &VecDeque<Piece>,
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
    on_the_way
        .back()
        .map_or(due_at, |last| due_at.max(last.due_at))
}

/// Delivers a piece, or meets the faults in force; an end ends the direction.
async fn deliver(route: &Route, direction: Direction, to: &TcpStream, piece: Piece) -> Option<End> {
    if route.link(direction).is_cut {
        // What is lost leaves a hole in the stream, which nothing can mend.
        route.until(|faults| !faults.link(direction).is_cut).await;
        return Some(End::Reset);
    }
    if piece.bytes.is_empty() {
        let is_closed = shut_down(to).is_ok();
        return Some(if is_closed {
            End::Closed
        } else {
            End::ReceiverGone
        });
    }
    // A cut may fall within a message: what is in front of it arrives.
    let passing = route.passing(direction, piece.bytes.len());
    let is_whole = passing == piece.bytes.len();
    if write_all(to, piece.bytes.slice(..passing)).await.is_err() {
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

fn shut_down(to: &TcpStream) -> std::io::Result<()> {
    socket2::SockRef::from(to).shutdown(std::net::Shutdown::Write)
}
