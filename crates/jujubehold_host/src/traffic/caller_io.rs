//! The I/O of a caller's connection.

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError, FrameReader};
use tokio::io::AsyncWriteExt;

use crate::security::{CallerReadHalf, CallerWriteHalf, LoginError, log_in};

/// The most capacity that an idle caller's output buffer keeps, in bytes.
const MAX_IDLE_CAPACITY_BYTES: usize = 4096;

/// Reads a caller's messages and writes its answers, with as few system calls as possible.
#[derive(Debug)]
pub(crate) struct CallerIo {
    reader: FrameReader<CallerReadHalf>,
    writer: CallerWriteHalf,
    /// The bytes to send to the caller at the next flush.
    pub(crate) out: BytesMut,
    /// Whether any byte of the current answer may have reached the caller.
    pub(crate) has_flushed: bool,
    /// How many of the batch's last Parse and Close messages of statements were skipped after an
    /// error.
    pub(crate) skipped_definitions: usize,
}

impl CallerIo {
    /// Creates the I/O from a connection's two halves.
    pub(crate) fn new(reader: FrameReader<CallerReadHalf>, writer: CallerWriteHalf) -> Self {
        Self {
            reader,
            writer,
            out: BytesMut::new(),
            has_flushed: false,
            skipped_definitions: 0,
        }
    }

    /// Returns the caller's next message, or `None` if it has disconnected.
    pub(crate) async fn read(&mut self) -> Result<Option<Frame>, FrameError> {
        self.reader.read().await
    }

    /// Authenticates the caller.
    pub(crate) async fn log_in(
        &mut self,
        config: &ServiceConfig,
        user: &str,
        secret: &[u8],
    ) -> Result<(), LoginError> {
        log_in(&mut self.reader, &mut self.writer, config, user, secret).await
    }

    /// Queues a message for the next flush.
    pub(crate) fn put(&mut self, frame: &Frame) {
        self.out.extend_from_slice(frame.bytes());
    }

    /// Sends the queued bytes to the caller.
    pub(crate) async fn flush(&mut self) -> Result<(), FrameError> {
        if self.out.is_empty() {
            return Ok(());
        }
        self.has_flushed = true;
        self.writer.write_all(&self.out).await?;
        self.writer.flush().await?;
        self.clear();
        Ok(())
    }

    /// Discards queued bytes that were not sent.
    pub(crate) fn clear(&mut self) {
        if self.out.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.out = BytesMut::new();
        } else {
            self.out.clear();
        }
    }
}
