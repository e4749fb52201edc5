//! A statement as it is sent to an instance.

use std::collections::BTreeMap;

use bytes::BytesMut;
use jujubehold_core::log_position::LogPosition;

use crate::peer_link::{EXACT_STATEMENTS_PROTOCOL, FIRST_PROTOCOL};
use crate::protocol::{
    LastField, PreparedStatement, StatementId, UpstreamCodec, UpstreamCommand, Word,
};

/// The maximum length of a statement's text, of its shape and of all values of its session together.
/// So a statement that one host runs can be run by every host, and its message to an owner of
/// connections never exceeds what an owner reads.
pub(crate) const MAX_STATEMENT_BYTES: usize = 1024 * 1024 + 48 * 1024;
/// The maximum length of all values of a session. They are sent with its BEGIN and COMMIT too.
pub(crate) const MAX_VALUES_BYTES: usize = 1024 * 1024;
/// What a value needs in a message beside its name and its text.
const VALUE_OVERHEAD_BYTES: usize = 16;

/// The values that a session has set, by name.
pub(crate) type SessionValues = BTreeMap<Word, LastField>;

/// Returns how long a value is in a message.
pub(crate) fn value_length(name: &Word, value: &LastField) -> usize {
    name.as_str().len() + value.bytes().len() + VALUE_OVERHEAD_BYTES
}

/// Returns how long all values are in a message.
pub(crate) fn values_length(values: &SessionValues) -> usize {
    let lengths = values.iter().map(|(name, value)| value_length(name, value));
    lengths.sum()
}

/// A caller's statement.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Statement {
    /// A text that is sent unchanged.
    Text { id: StatementId, text: LastField },
    /// A prepared statement.
    Prepared {
        id: StatementId,
        statement: PreparedStatement,
        /// The text after the statement's name; `None` if nothing follows it.
        arguments: Option<LastField>,
    },
}

impl Statement {
    /// Returns the caller's id of the statement.
    pub(crate) fn id(&self) -> &str {
        match self {
            Self::Text { id, .. } | Self::Prepared { id, .. } => id.as_str(),
        }
    }

    /// Returns the version of the messages between hosts that an owner must speak to run the statement
    /// as it is.
    pub(super) fn required_protocol(&self) -> u32 {
        match self {
            Self::Text { .. } => FIRST_PROTOCOL,
            Self::Prepared {
                statement,
                arguments,
                ..
            } => {
                let is_one_word = !statement.shape().bytes().contains(&b' ');
                if is_one_word && arguments.is_some() {
                    FIRST_PROTOCOL
                } else {
                    EXACT_STATEMENTS_PROTOCOL
                }
            }
        }
    }

    /// Returns how long the statement is in a message to an owner.
    pub(crate) fn length(&self) -> usize {
        match self {
            Self::Text { text, .. } => text.bytes().len(),
            Self::Prepared {
                statement,
                arguments,
                ..
            } => {
                let arguments = arguments.as_ref().map_or(0, |text| text.bytes().len());
                statement.shape().bytes().len() + arguments
            }
        }
    }

    /// Encodes the command that runs the statement.
    pub(super) fn encode(
        &self,
        after: Option<LogPosition>,
        codec: &mut impl UpstreamCodec,
        out: &mut BytesMut,
    ) {
        let command = match self {
            Self::Text { id, text } => UpstreamCommand::Run { id, after, text },
            Self::Prepared {
                id,
                statement,
                arguments,
            } => UpstreamCommand::Execute {
                id,
                after,
                name: statement.name(),
                arguments: arguments.as_ref(),
            },
        };
        codec.encode(&command, out);
    }
}
