//! The caller's socket.

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError, FrameReader};
use tokio::io::AsyncWriteExt;

use crate::security::{CallerReadHalf, CallerWriteHalf, LoginError, log_in};

/// How much capacity an idle caller's output keeps, in bytes.
const MAX_IDLE_CAPACITY_BYTES: usize = 4096;

/// Reads a caller's messages and writes its answers, each with as few calls as it can.
#[derive(Debug)]
pub(crate) struct CallerIo {
    reader: FrameReader<CallerReadHalf>,
    writer: CallerWriteHalf,
    /// What goes to the caller at the next flush.
    pub(crate) out: BytesMut,
    /// Whether any byte of the present answer may have reached the caller.
    pub(crate) has_flushed: bool,
}

impl CallerIo {
    /// A socket by its two halves.
    pub(crate) fn new(reader: FrameReader<CallerReadHalf>, writer: CallerWriteHalf) -> Self {
        Self {
            reader,
            writer,
            out: BytesMut::new(),
            has_flushed: false,
        }
    }

    /// The caller's next message; `None` when it has left.
    pub(crate) async fn read(&mut self) -> Result<Option<Frame>, FrameError> {
        self.reader.read().await
    }

    /// Lets the caller prove who it is.
    pub(crate) async fn log_in(
        &mut self,
        config: &ServiceConfig,
        user: &str,
        secret: &[u8],
    ) -> Result<(), LoginError> {
        log_in(&mut self.reader, &mut self.writer, config, user, secret).await
    }

    /// Adds a message to what goes to the caller.
    pub(crate) fn put(&mut self, frame: &Frame) {
        self.out.extend_from_slice(frame.bytes());
    }

    /// Gives the caller what was put.
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

    /// Drops what was put and not given.
    pub(crate) fn clear(&mut self) {
        if self.out.capacity() > MAX_IDLE_CAPACITY_BYTES {
            self.out = BytesMut::new();
        } else {
            self.out.clear();
        }
    }
}
