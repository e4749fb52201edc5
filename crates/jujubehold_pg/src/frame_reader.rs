//! Frames out of a byte stream.

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::frame::{Frame, FrameError};

/// What a reader asks the socket for at once, in bytes; also what an idle connection holds.
const READ_BYTES: usize = 4096;

/// Reads frames from a stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Reads from `stream`, after the bytes that were read from it before.
    pub fn new(stream: R, buffered: BytesMut) -> Self {
        Self {
            stream,
            buffer: buffered,
        }
    }

    /// The next frame, or `None` when the stream ended between two frames.
    ///
    /// Dropping the future loses nothing: what was read stays in the buffer.
    ///
    /// # Errors
    /// The stream failed, ended within a frame, or holds an impossible length.
    pub async fn read(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(Some(frame));
            }
            if self.buffer.is_empty() {
                // An idle connection keeps no buffer: the next read brings a new one.
                self.buffer = BytesMut::new();
            }
            self.buffer.reserve(READ_BYTES);
            if self.stream.read_buf(&mut self.buffer).await? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(FrameError::Truncated)
                };
            }
        }
    }

    /// The next frame, if it has been read whole already.
    ///
    /// # Errors
    /// The buffer holds an impossible length.
    pub fn buffered(&mut self) -> Result<Option<Frame>, FrameError> {
        Frame::cut(&mut self.buffer)
    }

    /// Whether bytes have been read that no frame has taken.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// The stream below.
    pub fn get_ref(&self) -> &R {
        &self.stream
    }

    /// Takes the stream and what was read from it.
    pub fn into_parts(self) -> (R, BytesMut) {
        (self.stream, self.buffer)
    }
}
