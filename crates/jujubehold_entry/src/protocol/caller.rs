//! The callers' side of the protocol.

use bytes::{Bytes, BytesMut};
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use smol_str::SmolStr;

use super::error_code::ErrorCode;
use super::platform::MalformedMessage;
use super::upstream::Access;

/// Reads a caller's messages and writes its answers.
pub trait CallerCodec: std::fmt::Debug + Default + 'static {
    /// Takes one whole message out of `buffer`; `None` until there is one.
    ///
    /// # Errors
    /// The bytes are no message.
    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<CallerMessage>, MalformedMessage>;

    /// Writes that the next request may come.
    fn put_ready(&self, state: SessionState, position: Option<LogPosition>, out: &mut BytesMut);

    /// Writes one row as the upstream gave it.
    fn put_row(&self, row: &Bytes, out: &mut BytesMut);

    /// Writes a success; `proof` is the upstream's own, `None` where the host itself answers.
    fn put_complete(&self, proof: Option<&Bytes>, out: &mut BytesMut);

    /// Writes an error.
    fn put_error(&self, code: ErrorCode, detail: &str, out: &mut BytesMut);
}

/// One message of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// The session begins.
    Start {
        /// The database that it is for.
        database: SmolStr,
    },
    /// A statement.
    Request(CallerRequest),
    /// The session ends.
    End,
}

/// One statement of a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's name for it, which goes with it to the upstream.
    pub id: RequestId,
    /// Its text, which goes to the upstream unchanged.
    pub text: Bytes,
    /// What it asks for.
    pub kind: RequestKind,
}

/// What a statement asks for.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// Opens a transaction.
    Begin {
        /// Whether it only reads.
        is_read_only: bool,
    },
    /// Ends a transaction and keeps its effect.
    Commit,
    /// Ends a transaction and drops its effect.
    Rollback,
    /// Reads or writes.
    Data(Access),
    /// Runs a prepared statement.
    Execute {
        /// The caller's name of the statement.
        name: SmolStr,
        /// What stands after the name.
        arguments: Bytes,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: SmolStr,
        /// The value.
        value: SmolStr,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name of the statement.
        name: SmolStr,
        /// Whether it writes.
        access: Access,
        /// What it does; statements of one shape and access are the same.
        shape: SmolStr,
    },
    /// Forgets a prepared statement.
    Deallocate {
        /// The caller's name of the statement.
        name: SmolStr,
    },
    /// Nothing that can be read.
    Malformed,
}

jujubehold_core::key_type! {
    /// Where a session or connection stands.
    pub enum SessionState {
        /// Outside a transaction.
        Idle,
        /// In a transaction.
        InTransaction,
        /// In a transaction that failed and must be ended.
        Failed,
    }
}
