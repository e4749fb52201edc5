//! A connection to an instance.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::BytesMut;
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use jujubehold_core::statement_name::StatementName;
use jujubehold_core::wait_policy::WaitPolicy;
use metrics::counter;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

use super::statement::{SessionValues, Statement, values_length};
use crate::metric_names::{SESSION_SETUP_COMMANDS, SESSION_SETUP_ERRORS};
use crate::protocol::{
    ErrorCode, MalformedMessage, Platform, SessionState, UpstreamCodec, UpstreamCommand,
    UpstreamReply, Word,
};

/// The free space reserved in the read buffer before each read.
const READ_CHUNK_BYTES: usize = 4 * 1024;
/// If a connection has more prepared statements than this, it is reset.
const MAX_PREPARED_STATEMENTS: usize = 200;
/// A connection on which longer values are set is closed after its use.
const MAX_IDLE_VALUES_BYTES: usize = 64 * 1024;
/// How long a caller is asked to wait after a session could not be set up on a connection.
const SETUP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why an instance gave no reply on a connection.
#[derive(Debug, thiserror::Error)]
pub(crate) enum UpstreamError {
    #[error("the connection can't be opened: {0}")]
    Unreachable(std::io::Error),
    #[error("the instance accepts no more connections")]
    ConnectionLimit,
    #[error("the instance refused the connection: {}", .0.as_str())]
    Refused(ErrorCode),
    /// A name in the configuration or the directory can't be sent to an instance.
    #[error("a name is no field of a message: {0}")]
    InvalidName(#[from] MalformedMessage),
    #[error("the connection failed: {0}")]
    Broken(std::io::Error),
    #[error("the instance sent an invalid reply")]
    Malformed,
    #[error("the instance did not answer in time")]
    TimedOut,
    /// The instance or an owner stated that the statement did not run, or it was not sent.
    #[error("no connection ran the statement: {}", .0.reason.as_str())]
    NotRun(Refusal),
    #[error("the host that owns the connection was lost")]
    OwnerLost,
}

/// A connection to an instance, with the values set and the statements prepared on it.
#[derive(Debug)]
pub(crate) struct UpstreamConnection<P: Platform> {
    stream: TcpStream,
    /// The customer whose statements the connection runs.
    customer: Option<CustomerId>,
    buffer: BytesMut,
    codec: P::Upstreams,
    values: SessionValues,
    prepared: BTreeSet<StatementName>,
    /// The name that the last statement prepared, until it is taken for the log.
    newly_prepared: Option<StatementName>,
    state: SessionState,
    pending_replies: usize,
    is_broken: bool,
    pub(super) idle_since: Monotonic,
}

impl<P: Platform> UpstreamConnection<P> {
    /// Opens a connection for statements of `customer` and has the other end confirm that it is
    /// `instance` of `service`. Also returns the position that the instance reported.
    ///
    /// Without a customer, the instance is told the name of the host.
    pub(crate) async fn open(
        address: SocketAddr,
        service: &str,
        customer: Option<&CustomerId>,
        host: &str,
        instance: &str,
        timeout: Duration,
    ) -> Result<(Self, Option<LogPosition>), UpstreamError> {
        let opening = Self::open_unbounded(address, service, customer, host, instance);
        match tokio::time::timeout(timeout, opening).await {
            Ok(opened) => opened,
            Err(_) => Err(UpstreamError::TimedOut),
        }
    }

    async fn open_unbounded(
        address: SocketAddr,
        service: &str,
        customer: Option<&CustomerId>,
        host: &str,
        instance: &str,
    ) -> Result<(Self, Option<LogPosition>), UpstreamError> {
        let service = Word::new(service)?;
        let user = Word::new(customer.map_or(host, CustomerId::as_str))?;
        let instance = Word::new(instance)?;
        let stream = TcpStream::connect(address)
            .await
            .map_err(UpstreamError::Unreachable)?;
        stream.set_nodelay(true).map_err(UpstreamError::Broken)?;
        let mut connection = Self {
            stream,
            customer: customer.cloned(),
            buffer: BytesMut::new(),
            codec: P::Upstreams::default(),
            values: SessionValues::new(),
            prepared: BTreeSet::new(),
            newly_prepared: None,
            state: SessionState::Idle,
            pending_replies: 0,
            is_broken: false,
            idle_since: Monotonic::ZERO,
        };
        let start = UpstreamCommand::Start {
            service: &service,
            user: &user,
            instance: &instance,
        };
        let reply = connection.run_command(&start).await?;
        match reply.error() {
            None => Ok((connection, reply.position)),
            Some(ErrorCode::ConnectionLimit) => Err(UpstreamError::ConnectionLimit),
            Some(code) => Err(UpstreamError::Refused(code)),
        }
    }

    /// Returns the customer for whom the connection was opened.
    pub(crate) fn customer(&self) -> Option<&CustomerId> {
        self.customer.as_ref()
    }

    /// Returns the transaction state of the connection.
    pub(crate) fn state(&self) -> SessionState {
        self.state
    }

    /// Returns whether another session may use the connection. One with long values is not kept, as it
    /// would hold them after their session has ended.
    pub(crate) fn is_reusable(&self) -> bool {
        let is_quiet = self.pending_replies == 0 && self.buffer.is_empty();
        !self.is_broken
            && is_quiet
            && self.state == SessionState::Idle
            && values_length(&self.values) <= MAX_IDLE_VALUES_BYTES
    }

    /// Returns whether exactly `values` are set on the connection, so that nothing needs to be set
    /// first.
    pub(crate) fn has_values(&self, values: &SessionValues) -> bool {
        self.values == *values
    }

    /// Returns whether the instance has closed the idle connection or sent data without a request.
    pub(crate) fn is_stale(&self) -> bool {
        let mut byte = [0];
        match self.stream.try_read(&mut byte) {
            Ok(_) => true,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        }
    }

    /// Returns the name that the last statement prepared on the connection, once.
    pub(super) fn take_newly_prepared(&mut self) -> Option<StatementName> {
        self.newly_prepared.take()
    }

    /// Makes closing the connection discard unsent data, so that it can't arrive later.
    pub(crate) fn reset_on_close(&self) {
        // If the option can't be set, the connection is closed normally and unsent data may still
        // arrive; no answer to a caller depends on that.
        let _ = SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }

    /// Runs one command that needs no session values.
    pub(crate) async fn run_command(
        &mut self,
        command: &UpstreamCommand<'_>,
    ) -> Result<UpstreamReply, UpstreamError> {
        let mut out = BytesMut::new();
        self.codec.encode(command, &mut out);
        let is_reset = matches!(command, UpstreamCommand::Reset);
        if is_reset {
            self.values.clear();
            self.prepared.clear();
        }
        self.send(&out, 1).await?;
        let reply = self.receive().await?;
        // The instance still has what a rejected RESET should have cleared.
        self.is_broken |= is_reset && reply.error().is_some();
        Ok(reply)
    }

    /// Runs a statement of a session that has set `values`.
    ///
    /// The values are set before the statement is sent, since it must not run with others. Its PREPARE
    /// is sent ahead of it without waiting, since the instance does not run it without one.
    pub(crate) async fn run(
        &mut self,
        statement: &Statement,
        after: Option<LogPosition>,
        values: &SessionValues,
    ) -> Result<UpstreamReply, UpstreamError> {
        self.set_values(values).await?;
        let mut out = BytesMut::new();
        let is_preparing = self.encode_preparation(statement, &mut out);
        statement.encode(after, &mut self.codec, &mut out);
        self.send(&out, 1 + usize::from(is_preparing)).await?;
        if is_preparing && self.is_setup_refused(1).await? {
            self.newly_prepared = None;
            return Err(without_preparation(&self.receive().await?));
        }
        let reply = self.receive().await?;
        if reply.error() == Some(ErrorCode::UnknownStatement) {
            // The instance lacks a statement that it has acknowledged, and perhaps more than that.
            self.is_broken = true;
            return Err(setup_refused());
        }
        Ok(reply)
    }

    async fn set_values(&mut self, values: &SessionValues) -> Result<(), UpstreamError> {
        let mut out = BytesMut::new();
        let count = self.encode_values(values, &mut out);
        if count == 0 {
            return Ok(());
        }
        self.send(&out, count).await.map_err(nothing_sent)?;
        if self.is_setup_refused(count).await.map_err(nothing_sent)? {
            return Err(setup_refused());
        }
        Ok(())
    }

    fn encode_values(&mut self, values: &SessionValues, out: &mut BytesMut) -> usize {
        let mut count = 0;
        let has_extra_values = self.values.keys().any(|name| !values.contains_key(name));
        // A transaction keeps what it has set up: an instance may reject a RESET within one.
        let is_full = self.prepared.len() > MAX_PREPARED_STATEMENTS;
        if has_extra_values || (is_full && self.state == SessionState::Idle) {
            self.codec.encode(&UpstreamCommand::Reset, out);
            self.values.clear();
            self.prepared.clear();
            count_setup_command("reset");
            count += 1;
        }
        for (name, value) in values {
            if self.values.get(name) != Some(value) {
                self.codec
                    .encode(&UpstreamCommand::Set { name, value }, out);
                self.values.insert(name.clone(), value.clone());
                count_setup_command("set");
                count += 1;
            }
        }
        count
    }

    // Returns whether the statement needs a preparation first.
    fn encode_preparation(&mut self, statement: &Statement, out: &mut BytesMut) -> bool {
        let Statement::Prepared { statement, .. } = statement else {
            return false;
        };
        let is_new = self.prepared.insert(statement.name().clone());
        if is_new {
            self.codec.encode(&UpstreamCommand::Prepare(statement), out);
            count_setup_command("prepare");
            self.newly_prepared = Some(statement.name().clone());
        }
        is_new
    }

    // Receives the replies to setup commands. If one was refused, the connection is closed after its
    // use, since what is set on it is not known.
    async fn is_setup_refused(&mut self, count: usize) -> Result<bool, UpstreamError> {
        let mut is_refused = false;
        for _ in 0..count {
            is_refused |= self.receive().await?.error().is_some();
        }
        if is_refused {
            counter!(SESSION_SETUP_ERRORS).increment(1);
            self.is_broken = true;
        }
        Ok(is_refused)
    }

    async fn send(&mut self, bytes: &[u8], replies: usize) -> Result<(), UpstreamError> {
        self.pending_replies += replies;
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
        self.pending_replies = self.pending_replies.saturating_sub(1);
        match reply.state {
            Some(state) => self.state = state,
            None => self.is_broken = true,
        }
        if self.buffer.is_empty() {
            // Frees the buffer while the connection is idle.
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

// A statement that ran though its PREPARE was refused ran something else than its caller asked for.
fn without_preparation(reply: &UpstreamReply) -> UpstreamError {
    match reply.error() {
        Some(code) if code.is_not_run() => setup_refused(),
        Some(_) | None => UpstreamError::Malformed,
    }
}

fn setup_refused() -> UpstreamError {
    not_run(RefusalReason::SessionSetupRefused)
}

// The statement follows only once the setup is acknowledged.
fn nothing_sent(_: UpstreamError) -> UpstreamError {
    not_run(RefusalReason::UpstreamUnreachable)
}

fn not_run(reason: RefusalReason) -> UpstreamError {
    UpstreamError::NotRun(WaitPolicy::default().refuse(reason, SETUP_RETRY_DELAY))
}

fn count_setup_command(command: &'static str) {
    counter!(SESSION_SETUP_COMMANDS, "command" => command).increment(1);
}
