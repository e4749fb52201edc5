//! Reading of frames from a byte stream.

use bytes::BytesMut;
use tokio::io::{AsyncRead, AsyncReadExt};

use crate::frame::{Frame, FrameError};

/// The buffer space reserved for each read; also the buffer that an idle connection holds while it
/// waits.
const READ_BYTES: usize = 4096;

/// Reads frames from a stream.
#[derive(Debug)]
pub struct FrameReader<R> {
    stream: R,
    buffer: BytesMut,
}

impl<R: AsyncRead + Unpin> FrameReader<R> {
    /// Creates a reader of `stream`; `buffered` holds bytes that were already read from it.
    pub fn new(stream: R, buffered: BytesMut) -> Self {
        Self {
            stream,
            buffer: buffered,
        }
    }

    /// Reads the next frame, or returns `None` if the stream ended between two frames.
    ///
    /// This method is cancel safe: bytes that were read stay in the buffer.
    ///
    /// # Errors
    /// Returns an error if the stream failed, ended within a frame, or holds an invalid length.
    pub async fn read(&mut self) -> Result<Option<Frame>, FrameError> {
        loop {
            if let Some(frame) = self.buffered()? {
                return Ok(Some(frame));
            }
            if self.buffer.is_empty() {
                // Frees the buffer that earlier frames may have grown; the next read allocates a
                // new one.
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

    /// Returns the next frame if it has been read completely.
    ///
    /// # Errors
    /// Returns an error if the buffer holds an invalid length.
    pub fn buffered(&mut self) -> Result<Option<Frame>, FrameError> {
        Frame::cut(&mut self.buffer)
    }

    /// Returns whether the buffer holds no bytes beyond the frames already returned.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Returns a reference to the underlying stream.
    pub fn get_ref(&self) -> &R {
        &self.stream
    }

    /// Returns the stream and the bytes that were read from it but not returned as frames.
    pub fn into_parts(self) -> (R, BytesMut) {
        (self.stream, self.buffer)
    }
}
