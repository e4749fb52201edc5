//! A caller that sends each message as a test writes it.

use bytes::{BufMut, BytesMut};
use jujubehold_pg::{Frame, backend, startup_message, sync};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::support::{Fixture, HANG_TIMEOUT};

/// A caller's session, whose messages are queued until [`RawCaller::ask`].
pub(crate) struct RawCaller {
    stream: TcpStream,
    received: BytesMut,
    queued: BytesMut,
}

impl RawCaller {
    /// Opens a session with these settings in its startup message.
    pub(crate) async fn connect(fixture: &Fixture, settings: &[(&str, &str)]) -> Self {
        let stream = TcpStream::connect(fixture.address).await.unwrap();
        let mut caller = Self {
            stream,
            received: BytesMut::new(),
            queued: BytesMut::new(),
        };
        let mut parameters = vec![("user", "clerk"), ("database", "ledger")];
        parameters.extend(settings);
        let parameters = parameters
            .into_iter()
            .map(|(name, value)| (name.to_owned(), value.to_owned()));
        caller
            .queued
            .extend_from_slice(&startup_message(parameters.collect()));
        let answer = caller.ask().await;
        assert_eq!(error_code(&answer), "", "{settings:?}");
        caller
    }

    /// Queues a Parse of a statement without declared parameter types.
    pub(crate) fn parse(&mut self, name: &str, text: &str) -> &mut Self {
        self.put(b'P', &[name.as_bytes(), b"\0", text.as_bytes(), b"\0\0\0"])
    }

    /// Queues a Bind of the unnamed portal to text parameters.
    pub(crate) fn bind(&mut self, name: &str, parameters: &[&str]) -> &mut Self {
        let mut rest = vec![0, 0];
        rest.extend_from_slice(&u16::try_from(parameters.len()).unwrap().to_be_bytes());
        for value in parameters {
            rest.extend_from_slice(&u32::try_from(value.len()).unwrap().to_be_bytes());
            rest.extend_from_slice(value.as_bytes());
        }
        rest.extend_from_slice(&[0, 0]);
        self.put(b'B', &[b"\0", name.as_bytes(), b"\0", &rest])
    }

    /// Queues an Execute of the unnamed portal.
    pub(crate) fn execute(&mut self) -> &mut Self {
        self.queued.extend_from_slice(b"E\0\0\0\x09\0\0\0\0\0");
        self
    }

    /// Queues a Describe of a statement.
    pub(crate) fn describe(&mut self, name: &str) -> &mut Self {
        self.put(b'D', &[b"S", name.as_bytes(), b"\0"])
    }

    /// Queues a Close of a statement.
    pub(crate) fn close(&mut self, name: &str) -> &mut Self {
        self.put(b'C', &[b"S", name.as_bytes(), b"\0"])
    }

    /// Queues a simple query.
    pub(crate) fn query(&mut self, text: &str) -> &mut Self {
        self.queued
            .extend_from_slice(jujubehold_pg::query(text).bytes());
        self
    }

    /// Queues a message that consists of these parts.
    pub(crate) fn put(&mut self, tag: u8, parts: &[&[u8]]) -> &mut Self {
        let length = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
        self.queued.put_u8(tag);
        self.queued.put_u32(u32::try_from(length).unwrap());
        for part in parts {
            self.queued.put_slice(part);
        }
        self
    }

    /// Queues a Sync, and asks.
    pub(crate) async fn sync(&mut self) -> Vec<Frame> {
        sync(&mut self.queued);
        self.ask().await
    }

    /// Sends the queued messages, and returns the answer up to its `ReadyForQuery` or the session's
    /// end.
    pub(crate) async fn ask(&mut self) -> Vec<Frame> {
        self.stream.write_all(&self.queued.split()).await.unwrap();
        tokio::time::timeout(HANG_TIMEOUT, self.read_answer())
            .await
            .expect("an answer in time")
    }

    async fn read_answer(&mut self) -> Vec<Frame> {
        let mut frames = Vec::new();
        loop {
            while let Some(frame) = Frame::cut(&mut self.received).unwrap() {
                let is_end = frame.tag() == backend::READY_FOR_QUERY;
                frames.push(frame);
                if is_end {
                    return frames;
                }
            }
            if self.stream.read_buf(&mut self.received).await.unwrap_or(0) == 0 {
                return frames;
            }
        }
    }
}

/// Returns the SQLSTATE of the first error in an answer; empty if there is none.
pub(crate) fn error_code(answer: &[Frame]) -> &str {
    let error = answer
        .iter()
        .find(|frame| frame.tag() == backend::ERROR_RESPONSE);
    error
        .and_then(|error| error.error_field(b'C'))
        .unwrap_or_default()
}
