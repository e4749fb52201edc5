//! A caller's connection.

use bytes::BytesMut;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::prelude::*;
use crate::protocol::{CallerCodec, CallerMessage, MalformedMessage};

/// How much is read at once.
const READ_CHUNK_BYTES: usize = 2 * 1024;
/// How long a caller may take to take in an answer.
const WRITE_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a caller's connection ended.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CallerGone {
    #[error("the caller closed its connection")]
    Closed,
    #[error("the caller's connection broke: {0}")]
    Broken(#[from] std::io::Error),
    #[error("{0}")]
    Malformed(#[from] MalformedMessage),
    #[error("the caller does not take its answer")]
    NotReading,
}

/// Reads a caller's messages and writes its answers.
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

    /// The caller's next message. What was read stays when the future is dropped.
    pub(crate) async fn read(&mut self) -> Result<CallerMessage, CallerGone> {
        loop {
            if let Some(message) = self.codec.decode(&mut self.input)? {
                if self.input.is_empty() {
                    // A session that waits for its caller keeps no memory.
                    self.input = BytesMut::new();
                }
                return Ok(message);
            }
            if self.input.is_empty() {
                self.stream.readable().await?;
            }
            self.input.reserve(READ_CHUNK_BYTES);
            if self.stream.read_buf(&mut self.input).await? == 0 {
                return Err(CallerGone::Closed);
            }
        }
    }

    /// The output, to be written by [`flush`](Self::flush).
    pub(crate) fn put(&mut self, write: impl FnOnce(&P::Callers, &mut BytesMut)) {
        write(&self.codec, &mut self.output);
    }

    /// Writes the output.
    pub(crate) async fn flush(&mut self) -> Result<(), CallerGone> {
        let output = std::mem::take(&mut self.output);
        let written = tokio::time::timeout(WRITE_TIMEOUT, self.stream.write_all(&output)).await;
        written.map_err(|_| CallerGone::NotReading)??;
        Ok(())
    }

    /// Closes the connection after what was written.
    pub(crate) async fn close(&mut self) {
        // The caller may have gone first; then there is nothing left to tell it.
        let _ = self.stream.shutdown().await;
    }
}
