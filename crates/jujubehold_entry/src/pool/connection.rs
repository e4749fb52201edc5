//! One connection to an instance.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use smol_str::{SmolStr, format_smolstr};
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use crate::protocol::{
    Access, ErrorCode, Platform, SessionState, UpstreamCodec, UpstreamCommand, UpstreamReply,
};

/// How much is read at once.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// Statements prepared on one connection at the most; beyond it the connection is cleared.
const MAX_PREPARED: usize = 200;

/// The values that a session has set.
pub(crate) type SessionValues = BTreeMap<SmolStr, SmolStr>;

/// Why a connection gave no reply.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpstreamError {
    #[error("the connection can't be opened: {0}")]
    Unreachable(std::io::Error),
    #[error("the instance has no connection left")]
    ConnectionLimit,
    #[error("the instance refused the connection: {}", .0.as_str())]
    Refused(ErrorCode),
    #[error("the connection broke: {0}")]
    Broken(std::io::Error),
    #[error("the instance sent what can't be read")]
    Malformed,
    #[error("the instance did not answer in time")]
    Silent,
}

/// A statement as it goes to an instance.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Statement {
    /// A text that goes unchanged.
    Text { id: RequestId, text: Bytes },
    /// A prepared statement, known here by what it does.
    Prepared {
        id: RequestId,
        access: Access,
        shape: SmolStr,
        arguments: Bytes,
    },
}

impl Statement {
    /// The caller's name for it.
    pub(crate) fn id(&self) -> &str {
        match self {
            Self::Text { id, .. } | Self::Prepared { id, .. } => id,
        }
    }
}

/// One connection to an instance, with what has been set and prepared on it.
#[derive(Debug)]
pub(crate) struct UpstreamConnection<P: Platform> {
    stream: TcpStream,
    buffer: BytesMut,
    codec: P::Upstreams,
    values: SessionValues,
    prepared: BTreeSet<SmolStr>,
    state: SessionState,
    replies_due: usize,
    is_broken: bool,
    pub(super) idle_since: Monotonic,
}

impl<P: Platform> UpstreamConnection<P> {
    /// Opens a connection to an instance and has it say that it is the one meant.
    pub(crate) async fn open(
        address: SocketAddr,
        service: &str,
        host: &str,
        instance: &str,
        timeout: Duration,
    ) -> Result<(Self, Option<LogPosition>), UpstreamError> {
        let opening = Self::open_unbounded(address, service, host, instance);
        match tokio::time::timeout(timeout, opening).await {
            Ok(opened) => opened,
            Err(_) => Err(UpstreamError::Silent),
        }
    }

    async fn open_unbounded(
        address: SocketAddr,
        service: &str,
        host: &str,
        instance: &str,
    ) -> Result<(Self, Option<LogPosition>), UpstreamError> {
        let stream = TcpStream::connect(address)
            .await
            .map_err(UpstreamError::Unreachable)?;
        stream.set_nodelay(true).map_err(UpstreamError::Broken)?;
        let mut connection = Self {
            stream,
            buffer: BytesMut::new(),
            codec: P::Upstreams::default(),
            values: SessionValues::new(),
            prepared: BTreeSet::new(),
            state: SessionState::Idle,
            replies_due: 0,
            is_broken: false,
            idle_since: Monotonic::ZERO,
        };
        let start = UpstreamCommand::Start {
            service,
            host,
            instance,
        };
        let reply = connection.ask(&start).await?;
        match reply.error() {
            None => Ok((connection, reply.position)),
            Some(ErrorCode::ConnectionLimit) => Err(UpstreamError::ConnectionLimit),
            Some(code) => Err(UpstreamError::Refused(code)),
        }
    }

    /// Where the connection stands.
    pub(crate) fn state(&self) -> SessionState {
        self.state
    }

    /// Whether another session may use the connection.
    pub(crate) fn is_reusable(&self) -> bool {
        !self.is_broken && self.replies_due == 0 && self.state == SessionState::Idle
    }

    /// Whether the connection has exactly `values`, so that nothing must be set first.
    pub(crate) fn has_values(&self, values: &SessionValues) -> bool {
        self.values == *values
    }

    /// Whether the instance has closed an idle connection, or said what was not asked for.
    pub(crate) fn is_stale(&self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Ok(_) => true,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Has the close drop what is still to be sent, so that it can't arrive later.
    pub(crate) fn reset_on_close(&self) {
        // Where the option can't be set the close is an ordinary one, which drops nothing that an
        // answer depends on.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Runs one command without a session's values.
    pub(crate) async fn ask(
        &mut self,
        command: &UpstreamCommand<'_>,
    ) -> Result<UpstreamReply, UpstreamError> {
        let mut out = BytesMut::new();
        self.codec.encode(command, &mut out);
        if matches!(command, UpstreamCommand::Reset) {
            self.values.clear();
            self.prepared.clear();
        }
        self.send(&out, 1).await?;
        self.receive().await
    }

    /// Runs a statement of a session that has set `values`.
    ///
    /// What the session has set and prepared goes ahead of it on the same connection, without
    /// waiting: the instance runs commands in their order.
    pub(crate) async fn run(
        &mut self,
        statement: &Statement,
        after: Option<LogPosition>,
        values: &SessionValues,
    ) -> Result<UpstreamReply, UpstreamError> {
        let mut out = BytesMut::new();
        let own_commands = self.put_session(statement, values, &mut out);
        self.put_statement(statement, after, &mut out);
        self.send(&out, own_commands + 1).await?;
        for _ in 0..own_commands {
            if self.receive().await?.error().is_some() {
                self.is_broken = true;
                return Err(UpstreamError::Malformed);
            }
        }
        self.receive().await
    }

    fn put_session(
        &mut self,
        statement: &Statement,
        values: &SessionValues,
        out: &mut BytesMut,
    ) -> usize {
        let mut count = 0;
        let has_foreign_values = self.values.keys().any(|name| !values.contains_key(name));
        if has_foreign_values || self.prepared.len() > MAX_PREPARED {
            self.codec.encode(&UpstreamCommand::Reset, out);
            self.values.clear();
            self.prepared.clear();
            count += 1;
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.codec
                    .encode(&UpstreamCommand::Set { name, value }, out);
                self.values.insert(name.clone(), value.clone());
                count += 1;
            }
        }
        if let Statement::Prepared { access, shape, .. } = statement {
            let name = upstream_name(*access, shape);
            if self.prepared.insert(name.clone()) {
                let prepare = UpstreamCommand::Prepare {
                    name: &name,
                    access: *access,
                    shape,
                };
                self.codec.encode(&prepare, out);
                count += 1;
            }
        }
        count
    }

    fn put_statement(
        &mut self,
        statement: &Statement,
        after: Option<LogPosition>,
        out: &mut BytesMut,
    ) {
        match statement {
            Statement::Text { id, text } => {
                let command = UpstreamCommand::Run { id, after, text };
                self.codec.encode(&command, out);
            }
            Statement::Prepared {
                id,
                access,
                shape,
                arguments,
            } => {
                let command = UpstreamCommand::Execute {
                    id,
                    after,
                    name: &upstream_name(*access, shape),
                    arguments,
                };
                self.codec.encode(&command, out);
            }
        }
    }

    async fn send(&mut self, bytes: &[u8], replies: usize) -> Result<(), UpstreamError> {
        self.replies_due += replies;
        let sent = self.stream.write_all(bytes).await;
        sent.map_err(|error| {
            self.is_broken = true;
            UpstreamError::Broken(error)
        })
    }

    async fn receive(&mut self) -> Result<UpstreamReply, UpstreamError> {
        loop {
            match self.codec.decode(&mut self.buffer) {
                Ok(Some(reply)) => {
                    self.note_reply(&reply);
                    return Ok(reply);
                }
                Ok(None) => self.read_more().await?,
                Err(_) => {
                    self.is_broken = true;
                    return Err(UpstreamError::Malformed);
                }
            }
        }
    }

    fn note_reply(&mut self, reply: &UpstreamReply) {
        self.replies_due = self.replies_due.saturating_sub(1);
        match reply.state {
            Some(state) => self.state = state,
            None => self.is_broken = true,
        }
        if self.buffer.is_empty() {
            // An idle connection keeps no memory.
            self.buffer = BytesMut::new();
        }
    }

    async fn read_more(&mut self) -> Result<(), UpstreamError> {
        self.buffer.reserve(READ_CHUNK_BYTES);
        match self.stream.read_buf(&mut self.buffer).await {
            Ok(0) => {
                self.is_broken = true;
                let error = std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
                Err(UpstreamError::Broken(error))
            }
            Ok(_) => Ok(()),
            Err(error) => {
                self.is_broken = true;
                Err(UpstreamError::Broken(error))
            }
        }
    }
}

/// The name of a prepared statement on every connection, by what it does: sessions that prepare the
/// same share it.
fn upstream_name(access: Access, shape: &str) -> SmolStr {
    match access {
        Access::Read => format_smolstr!("r{shape}"),
        Access::Write => format_smolstr!("w{shape}"),
    }
}
