//! The messages on a link between two hosts.
//!
//! The host that opened the link sends acquire, run, release and ping; the owner sends the others.

use std::time::Duration;

use bytes::Bytes;
use jujubehold_core::log_position::LogPosition;

use crate::pool::{SessionValues, Statement};
use crate::protocol::{
    Access, ErrorCode, LastField, MalformedMessage, PreparedStatement, SessionState, StatementId,
    UpstreamOutcome, UpstreamReply, Word,
};

/// One message, about one lease.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct Frame {
    /// The lease's number on this link; 0 for pings.
    #[prost(uint64, tag = "1")]
    pub(crate) lease: u64,
    #[prost(oneof = "FrameBody", tags = "2, 3, 4, 5, 6, 7, 8, 9, 10, 11")]
    pub(crate) body: Option<FrameBody>,
}

/// The kinds of messages.
#[derive(Clone, PartialEq, prost::Oneof)]
pub(crate) enum FrameBody {
    /// Begins a lease with its first statement.
    #[prost(message, tag = "2")]
    Acquire(Box<AcquireMessage>),
    /// Runs another statement.
    #[prost(message, tag = "3")]
    Run(Box<RunMessage>),
    /// Ends the lease. With `true`, the connection is returned to the pool; with `false`, work that
    /// has not begun is dropped, and the connection is closed.
    #[prost(bool, tag = "4")]
    Release(bool),
    /// A part of the rows of the reply that follows.
    #[prost(message, tag = "5")]
    Rows(RowsMessage),
    /// The instance's reply.
    #[prost(message, tag = "6")]
    Reply(Box<ReplyMessage>),
    /// The statement did not run, and the lease has ended.
    #[prost(message, tag = "7")]
    Refused(RefusedMessage),
    /// The statement may have run, and the lease has ended.
    #[prost(enumeration = "FailedReason", tag = "8")]
    Failed(i32),
    #[prost(bool, tag = "9")]
    Ping(bool),
    #[prost(bool, tag = "10")]
    Pong(bool),
    /// The version of these messages that the owner speaks, which it states when a link begins. An
    /// owner that states none speaks [`FIRST_PROTOCOL`].
    #[prost(uint32, tag = "11")]
    Protocol(u32),
}

/// The version of an owner that states none.
pub(crate) const FIRST_PROTOCOL: u32 = 1;
/// The first version whose owners run a prepared statement as it is, whatever its shape contains and
/// whether or not it has arguments.
pub(crate) const EXACT_STATEMENTS_PROTOCOL: u32 = 2;
/// The version that this host speaks as an owner.
pub(crate) const OWN_PROTOCOL: u32 = EXACT_STATEMENTS_PROTOCOL;

/// A request for a connection.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct AcquireMessage {
    #[prost(string, tag = "1")]
    pub(crate) instance: String,
    #[prost(string, optional, tag = "2")]
    pub(crate) customer: Option<String>,
    #[prost(uint32, tag = "3")]
    pub(crate) priority: u32,
    /// How long the request may wait for a connection, from its arrival by the owner's clock.
    #[prost(uint32, tag = "4")]
    pub(crate) wait_ms: u32,
    /// Whether the lease ends with the reply to its first statement.
    #[prost(bool, tag = "5")]
    pub(crate) is_single: bool,
    #[prost(message, required, tag = "6")]
    pub(crate) run: RunMessage,
}

/// A statement.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RunMessage {
    #[prost(enumeration = "RunKind", tag = "1")]
    pub(crate) kind: i32,
    #[prost(string, tag = "2")]
    pub(crate) id: String,
    /// The text of a statement, or the arguments of a prepared one.
    #[prost(bytes = "bytes", tag = "3")]
    pub(crate) text: Bytes,
    /// The content of a prepared statement.
    #[prost(bytes = "bytes", tag = "4")]
    pub(crate) shape: Bytes,
    /// The log position that the instance must have reached.
    #[prost(message, optional, tag = "5")]
    pub(crate) after: Option<PositionMessage>,
    #[prost(uint32, tag = "6")]
    pub(crate) timeout_ms: u32,
    /// The values that the session has set; absent if they are the same as before.
    #[prost(message, optional, tag = "7")]
    pub(crate) values: Option<ValuesMessage>,
}

/// How a statement is run.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum RunKind {
    Text = 0,
    PreparedRead = 1,
    PreparedWrite = 2,
    /// Rolls the transaction back.
    Rollback = 3,
}

/// The values that a session has set.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ValuesMessage {
    #[prost(string, repeated, tag = "1")]
    pub(crate) names: Vec<String>,
    #[prost(bytes = "bytes", repeated, tag = "2")]
    pub(crate) values: Vec<Bytes>,
}

/// A position in a group's log.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct PositionMessage {
    #[prost(uint64, tag = "1")]
    pub(crate) term: u64,
    #[prost(uint64, tag = "2")]
    pub(crate) position: u64,
}

/// Rows as the instance sent them.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct RowsMessage {
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub(crate) rows: Vec<Bytes>,
}

/// The reply of an instance.
#[derive(Clone, PartialEq, prost::Message)]
pub(crate) struct ReplyMessage {
    #[prost(bytes = "bytes", repeated, tag = "1")]
    pub(crate) rows: Vec<Bytes>,
    /// The proof of a command that succeeded.
    #[prost(bytes = "bytes", optional, tag = "2")]
    pub(crate) proof: Option<Bytes>,
    /// The name of the error code of a command that failed.
    #[prost(string, optional, tag = "3")]
    pub(crate) error: Option<String>,
    #[prost(string, tag = "4")]
    pub(crate) detail: String,
    /// The connection's state; absent if the instance closes the connection.
    #[prost(enumeration = "StateName", optional, tag = "5")]
    pub(crate) state: Option<i32>,
    #[prost(message, optional, tag = "6")]
    pub(crate) position: Option<PositionMessage>,
    /// How long the statement waited at the owner before it was sent to the instance.
    #[prost(uint32, tag = "7")]
    pub(crate) waited_us: u32,
}

/// The state of a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum StateName {
    Idle = 0,
    InTransaction = 1,
    Failed = 2,
}

/// Why a statement did not run.
#[derive(Clone, Copy, PartialEq, Eq, prost::Message)]
pub(crate) struct RefusedMessage {
    #[prost(enumeration = "RefusedReason", tag = "1")]
    pub(crate) reason: i32,
    /// How long the owner expects a request to wait.
    #[prost(uint32, tag = "2")]
    pub(crate) expected_wait_ms: u32,
}

/// The reasons for which an owner refuses a statement.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum RefusedReason {
    /// No connection became free in time.
    NoneFree = 0,
    /// The instance accepts no more connections.
    ConnectionLimit = 1,
    /// No connection to the instance could be opened.
    Unreachable = 2,
    /// The host does not own connections to the instance.
    NotOwner = 3,
    /// The host is leaving.
    Leaving = 4,
    /// The link has too many leases.
    TooManyLeases = 5,
    /// A field can't be sent to an instance as what it is.
    Unreadable = 6,
    /// The instance rejected a command that sets the session up. Hosts of versions that do not know the
    /// reason read it as the first one.
    SessionSetup = 7,
}

/// Why it is not known whether a statement ran.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, prost::Enumeration)]
#[repr(i32)]
pub(crate) enum FailedReason {
    ConnectionLost = 0,
    TimedOut = 1,
    Malformed = 2,
}

impl RefusedReason {
    /// Returns the stable name used in metrics and logs.
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::NoneFree => "none_free",
            Self::ConnectionLimit => "connection_limit",
            Self::Unreachable => "unreachable",
            Self::NotOwner => "not_owner",
            Self::Leaving => "leaving",
            Self::TooManyLeases => "too_many_leases",
            Self::Unreadable => "unreadable",
            Self::SessionSetup => "session_setup",
        }
    }
}

impl From<LogPosition> for PositionMessage {
    fn from(position: LogPosition) -> Self {
        Self {
            term: position.term,
            position: position.position,
        }
    }
}

impl From<PositionMessage> for LogPosition {
    fn from(position: PositionMessage) -> Self {
        Self {
            term: position.term,
            position: position.position,
        }
    }
}

impl RunMessage {
    /// Creates the message for a statement. `values` are those of the session if the owner may not
    /// have them.
    pub(crate) fn new(
        statement: &Statement,
        after: Option<LogPosition>,
        values: Option<&SessionValues>,
        timeout: Duration,
    ) -> Self {
        let (kind, text, shape) = match statement {
            Statement::Text { text, .. } => (RunKind::Text, Some(text), Bytes::new()),
            Statement::Prepared {
                statement,
                arguments,
                ..
            } => {
                let kind = match statement.access() {
                    Access::Read => RunKind::PreparedRead,
                    Access::Write => RunKind::PreparedWrite,
                };
                (kind, arguments.as_ref(), statement.shape().bytes().clone())
            }
        };
        Self {
            kind: kind.into(),
            id: statement.id().to_owned(),
            text: text.map(|text| text.bytes().clone()).unwrap_or_default(),
            shape,
            after: after.map(PositionMessage::from),
            timeout_ms: millis_u32(timeout),
            values: values.map(ValuesMessage::from),
        }
    }

    /// Returns the session's values; `None` if they are the same as before.
    ///
    /// # Errors
    /// Returns an error if a field can't be sent to an instance as what it is.
    pub(crate) fn session_values(&self) -> Result<Option<SessionValues>, MalformedMessage> {
        self.values
            .as_ref()
            .map(SessionValues::try_from)
            .transpose()
    }

    /// Returns the statement; `None` for a rollback.
    ///
    /// # Errors
    /// Returns an error if a field can't be sent to an instance as what it is.
    pub(crate) fn statement(&self) -> Result<Option<Statement>, MalformedMessage> {
        // A kind of a later version means other fields.
        let kind = RunKind::try_from(self.kind).map_err(|_| MalformedMessage::Unreadable)?;
        let access = match kind {
            RunKind::Text => {
                let id = StatementId::new(&self.id)?;
                let text = LastField::new(self.text.clone())?;
                return Ok(Some(Statement::Text { id, text }));
            }
            RunKind::PreparedRead => Access::Read,
            RunKind::PreparedWrite => Access::Write,
            RunKind::Rollback => return Ok(None),
        };
        let shape = LastField::new(self.shape.clone())?;
        let arguments = (!self.text.is_empty()).then(|| LastField::new(self.text.clone()));
        Ok(Some(Statement::Prepared {
            id: StatementId::new(&self.id)?,
            statement: PreparedStatement::new(access, shape),
            arguments: arguments.transpose()?,
        }))
    }
}

impl From<&SessionValues> for ValuesMessage {
    fn from(values: &SessionValues) -> Self {
        Self {
            names: values.keys().map(|name| name.as_str().to_owned()).collect(),
            values: values.values().map(|value| value.bytes().clone()).collect(),
        }
    }
}

impl TryFrom<&ValuesMessage> for SessionValues {
    type Error = MalformedMessage;

    fn try_from(message: &ValuesMessage) -> Result<Self, MalformedMessage> {
        if message.names.len() != message.values.len() {
            return Err(MalformedMessage::Unreadable);
        }
        let pairs = message.names.iter().zip(&message.values);
        pairs
            .map(|(name, value)| Ok((Word::new(name)?, LastField::new(value.clone())?.detached())))
            .collect()
    }
}

impl ReplyMessage {
    /// Creates the message for a reply whose rows are sent separately or added later.
    pub(crate) fn new(reply: &UpstreamReply, waited: Duration) -> Self {
        let (proof, error, detail) = match &reply.outcome {
            Some(UpstreamOutcome::Complete { proof }) => (Some(proof.clone()), None, ""),
            Some(UpstreamOutcome::Error { code, detail }) => {
                (None, Some(code.as_str().to_owned()), detail.as_str())
            }
            None => (None, None, ""),
        };
        Self {
            rows: Vec::new(),
            proof,
            error,
            detail: detail.to_owned(),
            state: reply.state.map(|state| StateName::from(state).into()),
            position: reply.position.map(PositionMessage::from),
            waited_us: u32::try_from(waited.as_micros()).unwrap_or(u32::MAX),
        }
    }

    /// Returns the reply, with `earlier_rows` before its own; `None` if the error code or the state is
    /// unknown, or if there is no outcome, as an owner of an earlier version may send.
    pub(crate) fn into_reply(self, mut earlier_rows: Vec<Bytes>) -> Option<UpstreamReply> {
        let state = self.state.map(StateName::try_from).transpose().ok()?;
        let outcome = match (self.proof, self.error) {
            (Some(proof), _) => Some(UpstreamOutcome::Complete { proof }),
            (None, Some(code)) => Some(UpstreamOutcome::Error {
                code: ErrorCode::from_name(&code)?,
                detail: self.detail.into(),
            }),
            (None, None) => return None,
        };
        earlier_rows.extend(self.rows);
        Some(UpstreamReply {
            rows: earlier_rows,
            outcome,
            state: state.map(SessionState::from),
            position: self.position.map(LogPosition::from),
        })
    }
}

impl From<SessionState> for StateName {
    fn from(state: SessionState) -> Self {
        match state {
            SessionState::Idle => Self::Idle,
            SessionState::InTransaction => Self::InTransaction,
            SessionState::Failed => Self::Failed,
        }
    }
}

impl From<StateName> for SessionState {
    fn from(state: StateName) -> Self {
        match state {
            StateName::Idle => Self::Idle,
            StateName::InTransaction => Self::InTransaction,
            StateName::Failed => Self::Failed,
        }
    }
}

/// Converts a duration to whole milliseconds, for messages.
pub(crate) fn millis_u32(time: Duration) -> u32 {
    u32::try_from(time.as_millis()).unwrap_or(u32::MAX)
}
