//! The upstreams' side of the protocol.

use bytes::{Bytes, BytesMut};
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use jujubehold_core::replica_evidence::is_unmarked_replica;
use smol_str::SmolStr;

use super::caller::SessionState;
use super::error_code::ErrorCode;
use super::platform::MalformedMessage;

/// Writes commands to an upstream and reads its replies.
pub trait UpstreamCodec: std::fmt::Debug + Default + 'static {
    /// Writes one command.
    fn encode(&mut self, command: &UpstreamCommand<'_>, out: &mut BytesMut);

    /// Takes one whole reply out of `buffer`; `None` until there is one.
    ///
    /// # Errors
    /// The bytes are no reply.
    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<UpstreamReply>, MalformedMessage>;

    /// Reads the reply to [`UpstreamCommand::Status`] and [`UpstreamCommand::StepDown`].
    fn status(&self, reply: &UpstreamReply) -> Option<StatusReport>;
}

jujubehold_core::key_type! {
    /// Whether a statement may change data.
    pub enum Access {
        /// It only reads.
        Read,
        /// It may change data.
        Write,
    }
}

/// What a host asks of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum UpstreamCommand<'a> {
    /// Opens the connection.
    Start {
        /// The service that the instance must belong to.
        service: &'a str,
        /// The host that connects.
        host: &'a str,
        /// The instance that it must be.
        instance: &'a str,
    },
    /// Runs a caller's statement.
    Run {
        /// The caller's name for it.
        id: &'a str,
        /// The position that the instance must have.
        after: Option<LogPosition>,
        /// Its text.
        text: &'a [u8],
    },
    /// Runs a caller's prepared statement.
    Execute {
        /// The caller's name for the request.
        id: &'a str,
        /// The position that the instance must have.
        after: Option<LogPosition>,
        /// The statement's name on this connection.
        name: &'a str,
        /// What stands after the name.
        arguments: &'a [u8],
    },
    /// Prepares a statement under a name of the host's own.
    Prepare {
        /// The statement's name on this connection.
        name: &'a str,
        /// Whether it writes.
        access: Access,
        /// What it does.
        shape: &'a str,
    },
    /// Sets a value of the session that is to use the connection.
    Set {
        /// The value's name.
        name: &'a str,
        /// The value.
        value: &'a str,
    },
    /// Ends the transaction and drops its effect.
    Rollback,
    /// Clears values and prepared statements.
    Reset,
    /// Asks what the instance knows of itself.
    Status,
    /// Marks a replica with a term above its own: it receives nothing until it is promoted or
    /// resumed.
    Mark {
        /// The term.
        term: Term,
    },
    /// Takes the mark off a replica.
    Resume,
    /// Makes a primary of a term below this one a replica.
    StepDown {
        /// The term.
        term: Term,
    },
}

/// One whole reply.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct UpstreamReply {
    /// The rows, each as it came.
    pub rows: Vec<Bytes>,
    /// How the command ended; `None` for the reply to [`UpstreamCommand::Start`].
    pub outcome: Option<UpstreamOutcome>,
    /// Where the connection stands now; `None` when the instance closes it.
    pub state: Option<SessionState>,
    /// The instance's position in the group's log.
    pub position: Option<LogPosition>,
}

/// How a command ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum UpstreamOutcome {
    /// It ran.
    Complete {
        /// The instance's proof that the answer is its own.
        proof: Bytes,
    },
    /// It did not succeed.
    Error {
        /// What that means.
        code: ErrorCode,
        /// The instance's words.
        detail: SmolStr,
    },
}

impl UpstreamReply {
    /// The error, if the command did not succeed.
    pub fn error(&self) -> Option<ErrorCode> {
        match self.outcome.as_ref()? {
            UpstreamOutcome::Complete { .. } => None,
            UpstreamOutcome::Error { code, .. } => Some(*code),
        }
    }
}

jujubehold_core::value_type! {
    /// What an instance says of itself.
    pub struct StatusReport {
        /// Whether it leads.
        pub role: Role,
        /// The term that it serves or follows.
        pub term: Term,
        /// The last commit that it received.
        pub received: LogPosition,
        /// The highest term that it is marked with; 0 without a mark.
        pub held_term: Term,
    }
}

impl StatusReport {
    /// Whether it is a replica that was not marked to take over.
    pub fn is_unmarked_replica(&self) -> bool {
        is_unmarked_replica(self.role, self.term, self.held_term)
    }
}
