//! The protocol between callers and the host.

use bytes::{Bytes, BytesMut};
use jujubehold_core::log_position::LogPosition;
use smol_str::SmolStr;

use super::caller_key::CallerKey;
use super::error_code::ErrorCode;
use super::field::{LastField, PreparedStatement, StatementId, Word};
use super::platform::MalformedMessage;
use super::upstream::Access;

/// Decodes a caller's messages and encodes the answers to them.
pub trait CallerCodec: std::fmt::Debug + Default + 'static {
    /// Removes one complete message from `buffer`; `None` until there is one.
    ///
    /// # Errors
    /// Returns an error if the bytes are not a message.
    fn decode(&mut self, buffer: &mut BytesMut) -> Result<Option<CallerMessage>, MalformedMessage>;

    /// Encodes that the host is ready for the next request.
    fn put_ready(&self, state: SessionState, position: Option<LogPosition>, out: &mut BytesMut);

    /// Encodes one row as the upstream sent it.
    fn put_row(&self, row: &Bytes, out: &mut BytesMut);

    /// Encodes a success. `proof` is the upstream's proof that the answer came from it, or `None`
    /// if the host itself answers.
    fn put_complete(&self, proof: Option<&Bytes>, out: &mut BytesMut);

    /// Encodes an error.
    fn put_error(&self, code: ErrorCode, detail: &str, out: &mut BytesMut);
}

/// One message from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallerMessage {
    /// Starts the session.
    Start {
        /// The name of the database.
        database: SmolStr,
        /// What identifies the caller, if it sent anything.
        key: Option<CallerKey>,
    },
    /// Sends a statement.
    Request(CallerRequest),
    /// Ends the session.
    End,
    /// The message is invalid; the next one can be read.
    Invalid(MalformedMessage),
}

/// One statement from a caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerRequest {
    /// The caller's id of the statement, which the upstream receives too.
    pub id: StatementId,
    /// The text, which the upstream receives unchanged.
    pub text: LastField,
    /// What the statement does.
    pub kind: RequestKind,
}

/// What a statement does.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum RequestKind {
    /// Opens a transaction.
    Begin {
        /// Whether the transaction is read-only.
        is_read_only: bool,
    },
    /// Commits the transaction.
    Commit,
    /// Rolls the transaction back.
    Rollback,
    /// Reads or writes.
    Data(Access),
    /// Runs a prepared statement.
    Execute {
        /// The caller's name for the statement.
        name: Word,
        /// The text after the name; `None` if nothing follows it.
        arguments: Option<LastField>,
    },
    /// Sets a value of the session.
    Set {
        /// The value's name.
        name: Word,
        /// The value.
        value: LastField,
    },
    /// Prepares a statement.
    Prepare {
        /// The caller's name for the statement.
        name: Word,
        /// The statement.
        statement: PreparedStatement,
    },
    /// Removes a prepared statement.
    Deallocate {
        /// The caller's name for the statement.
        name: Word,
    },
    /// The statement is invalid.
    Malformed(MalformedMessage),
}

jujubehold_core::key_type! {
    /// The transaction state of a session or connection.
    pub enum SessionState {
        /// Outside a transaction.
        Idle,
        /// In a transaction.
        InTransaction,
        /// In a failed transaction, which must be ended.
        Failed,
    }
}
