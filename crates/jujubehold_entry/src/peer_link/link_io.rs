//! The socket side of a link, the same for both ends.

use std::cell::{Cell, RefCell};
use std::io::ErrorKind;

use bytes::BytesMut;
use metrics::Counter;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::Notify;

use super::frame::Frame;
use super::framing::{FrameError, put_frame, take_frame};

/// The free space reserved in the read buffer before each read.
const READ_CHUNK_BYTES: usize = 8 * 1024;
/// If more bytes than this wait to be sent, the other host does not read, and the link is closed.
const MAX_UNSENT_BYTES: usize = 8 * 1024 * 1024;

/// Why a link ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum LinkError {
    #[error("the link failed: {0}")]
    Io(#[from] std::io::Error),
    #[error("the other host closed the link")]
    Closed,
    #[error(transparent)]
    Frame(#[from] FrameError),
    #[error("the other host does not read")]
    NotRead,
    #[error("the link was not used")]
    Unused,
    #[error("the other host is silent")]
    Silent,
}

/// The messages that wait to be sent on a link.
#[derive(Debug, Default)]
pub(crate) struct Outbox {
    buffer: RefCell<BytesMut>,
    /// How many bytes were ever put into the outbox.
    put_bytes: Cell<u64>,
    /// How many of them were taken out to be written to the socket.
    taken_bytes: Cell<u64>,
    /// How many of them were written to the socket.
    written_bytes: Cell<u64>,
    wake: Notify,
    /// Wakes the writer if the outbox has become too long.
    overflow: Notify,
}

impl Outbox {
    /// Adds a message. Returns the number of bytes that were put up to its end.
    pub(crate) fn put(&self, frame: &Frame) -> u64 {
        let mut buffer = self.buffer.borrow_mut();
        let before = buffer.len();
        put_frame(frame, &mut buffer);
        let length = u64::try_from(buffer.len() - before).unwrap_or(u64::MAX);
        self.put_bytes.set(self.put_bytes.get() + length);
        if before == 0 {
            self.wake.notify_one();
        }
        if buffer.len() > MAX_UNSENT_BYTES {
            self.overflow.notify_one();
        }
        self.put_bytes.get()
    }

    /// Returns whether any byte of a message that ends at `end` may have been written to the socket.
    pub(crate) fn is_handed_over(&self, end: u64) -> bool {
        end <= self.taken_bytes.get()
    }

    /// Returns whether any message has not been written to the socket completely.
    pub(crate) fn has_unsent(&self) -> bool {
        self.written_bytes.get() < self.put_bytes.get()
    }

    /// Writes messages to the socket until it fails. All messages that are ready at the same time
    /// are sent with one write.
    pub(crate) async fn write_all(
        &self,
        mut socket: OwnedWriteHalf,
        sent_bytes: &Counter,
    ) -> LinkError {
        loop {
            let bytes = std::mem::take(&mut *self.buffer.borrow_mut());
            if bytes.is_empty() {
                self.wake.notified().await;
                // Lets all tasks that are ready add their messages first.
                tokio::task::yield_now().await;
                continue;
            }
            let length = u64::try_from(bytes.len()).unwrap_or(u64::MAX);
            self.taken_bytes.set(self.taken_bytes.get() + length);
            sent_bytes.increment(length);
            tokio::select! {
                biased;
                written = socket.write_all(&bytes) => {
                    if let Err(error) = written {
                        return error.into();
                    }
                    self.written_bytes.set(self.written_bytes.get() + length);
                }
                () = self.overflow.notified() => return LinkError::NotRead,
            }
        }
    }
}

/// Reads messages from the socket and passes each to `handle` until the socket fails.
pub(crate) async fn read_all(
    socket: OwnedReadHalf,
    received_bytes: &Counter,
    mut handle: impl FnMut(Frame),
) -> LinkError {
    let mut buffer = BytesMut::new();
    loop {
        // Most links of a host are idle, so a buffer is allocated only when there is something to
        // read.
        if let Err(error) = socket.readable().await {
            return error.into();
        }
        buffer.reserve(READ_CHUNK_BYTES);
        match socket.try_read_buf(&mut buffer) {
            Ok(0) => return LinkError::Closed,
            Ok(length) => received_bytes.increment(u64::try_from(length).unwrap_or(u64::MAX)),
            Err(error) if error.kind() == ErrorKind::WouldBlock => {}
            Err(error) => return error.into(),
        }
        loop {
            match take_frame(&mut buffer) {
                Ok(Some(frame)) => handle(frame),
                Ok(None) => break,
                Err(error) => return error.into(),
            }
        }
        if buffer.is_empty() {
            // Frees the buffer while the link is idle.
            buffer = BytesMut::new();
        }
    }
}
