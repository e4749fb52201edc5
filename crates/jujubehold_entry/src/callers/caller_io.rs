//! A caller's connection.

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::prelude::*;
use crate::protocol::{CallerCodec, CallerMessage, MalformedMessage};

/// The free space reserved in the input buffer before each read.
const READ_CHUNK_BYTES: usize = 2 * 1024;
/// The timeout for writing an answer to a caller.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a caller's connection ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallerIoError {
    #[error("the caller closed its connection")]
    Closed,
    #[error("the caller's connection failed: {0}")]
    Broken(#[from] std::io::Error),
    #[error("{0}")]
    Malformed(#[from] MalformedMessage),
    #[error("the caller did not read its answer in time")]
    NotReading,
}

/// Reads a caller's messages and writes the answers to it.
#[derive(Debug)]
pub(crate) struct CallerIo<P: Platform> {
    stream: TcpStream,
    input: BytesMut,
    output: BytesMut,
    pub(crate) codec: P::Callers,
}

impl<P: Platform> CallerIo<P> {
    pub(crate) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            input: BytesMut::new(),
            output: BytesMut::new(),
            codec: P::Callers::default(),
        }
    }

    /// Returns the caller's next message. If the future is dropped, the bytes that it has read stay
    /// in the input buffer.
    pub(crate) async fn read(&mut self) -> Result<CallerMessage, CallerIoError> {
        loop {
            if let Some(message) = self.codec.decode(&mut self.input)? {
                if self.input.is_empty() {
                    // Frees the buffer while the session waits for its caller.
                    self.input = BytesMut::new();
                }
                return Ok(message);
            }
            if self.input.is_empty() {
                self.stream.readable().await?;
            }
            self.input.reserve(READ_CHUNK_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(CallerIoError::Closed);
            }
        }
    }

    /// Appends to the output, which [`flush`](Self::flush) writes.
    pub(crate) fn put(&mut self, write: impl FnOnce(&P::Callers, &mut BytesMut)) {
        write(&self.codec, &mut self.output);
    }

    /// Writes the output.
    pub(crate) async fn flush(&mut self) -> Result<(), CallerIoError> {
        let output = std::mem::take(&mut self.output);
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&output)).await;
        written.map_err(|_| CallerIoError::NotReading)??;
        Ok(())
    }

    /// Closes the connection once the written output is sent.
    pub(crate) async fn close(&mut self) {
        // An error means that the caller has already closed the connection.
        let _ = self.stream.shutdown().await;
    }
}
