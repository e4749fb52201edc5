//! The protocol between the host and upstreams.

use bytes::{Bytes, BytesMut};
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use jujubehold_core::replica_evidence::is_unmarked_replica;
use jujubehold_core::statement_name::StatementName;
use smol_str::SmolStr;

use super::caller::SessionState;
use super::error_code::ErrorCode;
use super::field::{LastField, PreparedStatement, StatementId, Word};
use super::platform::MalformedMessage;

/// Encodes commands to an upstream and decodes its replies.
pub trait UpstreamCodec: std::fmt::Debug + Default + 'static {
    /// Encodes one command.
    fn encode(&mut self, command: &UpstreamCommand<'_>, out: &mut BytesMut);

    /// Removes one complete reply from `buffer`; `None` until there is one.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a reply.
    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<UpstreamReply>, MalformedMessage>;

    /// Parses the reply to [`UpstreamCommand::Status`] and [`UpstreamCommand::StepDown`].
    fn status(&self, reply: &UpstreamReply) -> Option<StatusReport>;
}

jujubehold_core::key_type! {
    /// Whether a statement may change data.
    pub enum Access {
        /// The statement only reads.
        Read,
        /// The statement may change data.
        Write,
    }
}

/// A command from a host to an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamCommand<'a> {
    /// Opens the connection.
    Start {
        /// The service that the instance must belong to.
        service: &'a Word,
        /// The customer whose statements the connection runs, or the connecting host.
        user: &'a Word,
        /// The instance that the host means to reach.
        instance: &'a Word,
    },
    /// Runs a caller's statement.
    Run {
        /// The caller's id of the statement.
        id: &'a StatementId,
        /// The log position that the instance must have reached.
        after: Option<LogPosition>,
        /// The text of the statement.
        text: &'a LastField,
    },
    /// Runs a caller's prepared statement.
    Execute {
        /// The caller's id of the request.
        id: &'a StatementId,
        /// The log position that the instance must have reached.
        after: Option<LogPosition>,
        /// The statement's name on this connection.
        name: &'a StatementName,
        /// The text after the name; `None` if nothing follows it.
        arguments: Option<&'a LastField>,
    },
    /// Prepares a statement under its name.
    Prepare(&'a PreparedStatement),
    /// Sets a value of the session that will use the connection.
    Set {
        /// The value's name.
        name: &'a Word,
        /// The value.
        value: &'a LastField,
    },
    /// Rolls the transaction back.
    Rollback,
    /// Clears values and prepared statements.
    Reset,
    /// Asks for the instance's status.
    Status,
    /// Marks a replica with a term above its own. The replica receives no log until it is promoted
    /// or resumed.
    Mark {
        /// The term.
        term: Term,
    },
    /// Removes a replica's mark.
    Resume,
    /// Makes a primary whose term is lower than `term` a replica.
    StepDown {
        /// The term.
        term: Term,
    },
}

/// One complete reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReply {
    /// The rows as the instance sent them.
    pub rows: Vec<Bytes>,
    /// How the command ended; `None` for the reply to [`UpstreamCommand::Start`].
    pub outcome: Option<UpstreamOutcome>,
    /// The connection's state after the command; `None` if the instance closes it.
    pub state: Option<SessionState>,
    /// The instance's position in the group's log.
    pub position: Option<LogPosition>,
}

/// How a command ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// The command succeeded.
    Complete {
        /// The instance's proof that the answer came from it.
        proof: Bytes,
    },
    /// The command failed.
    Error {
        /// The error code.
        code: ErrorCode,
        /// The error text of the instance.
        detail: SmolStr,
    },
}

impl UpstreamReply {
    /// Returns whether the instance was too busy to run the command, which has no effect then.
    pub fn is_busy(&self) -> bool {
        self.error() == Some(ErrorCode::Busy)
    }

    /// Returns the error code if the command failed.
    pub fn error(&self) -> Option<ErrorCode> {
        match self.outcome.as_ref()? {
            UpstreamOutcome::Complete { .. } => None,
            UpstreamOutcome::Error { code, .. } => Some(*code),
        }
    }
}

jujubehold_core::value_type! {
    /// The status that an instance reports.
    pub struct StatusReport {
        /// The role.
        pub role: Role,
        /// The term that the instance serves or follows.
        pub term: Term,
        /// The log position of the last commit that it received.
        pub received: LogPosition,
        /// The highest term that it is marked with; 0 if it is not marked.
        pub held_term: Term,
    }
}

impl StatusReport {
    /// Returns whether the instance is a replica that is not marked to take over.
    pub fn is_unmarked_replica(&self) -> bool {
        is_unmarked_replica(self.role, self.term, self.held_term)
    }
}
