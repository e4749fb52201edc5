//! The fields of messages to upstreams.
//!
//! A protocol separates the fields of a message, and a text that contains a separator would be read as
//! other fields than were meant. So the commands to upstreams consist of the types of this module, which
//! can only be made from text that is one field.

use bytes::Bytes;
use jujubehold_core::statement_name::StatementName;
use smol_str::SmolStr;

use super::platform::MalformedMessage;
use super::upstream::Access;

/// The maximum length of a [`Word`].
pub const MAX_WORD_BYTES: usize = 1_024;
/// The maximum length of a [`LastField`]. It leaves a message of 1 MiB room for all fields that a host
/// may put before it: a position, a name that the host chose, and two words.
pub const MAX_LAST_FIELD_BYTES: usize = 1024 * 1024 - 4 * 1024;

/// The id of the commands that hosts themselves send. An instance states no proof for them.
pub const HOST_COMMAND_ID: &str = "-";

/// One field: a name or an id. It is not empty, and contains no space and no control character below it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Word(SmolStr);

impl Word {
    /// Creates a word from its text.
    ///
    /// # Errors
    /// Returns an error if the text is not one word, or is too long.
    pub fn new(text: &str) -> Result<Self, MalformedMessage> {
        if text.len() > MAX_WORD_BYTES {
            return Err(MalformedMessage::TooLong);
        }
        if text.is_empty() || text.bytes().any(|byte| byte <= b' ') {
            return Err(MalformedMessage::Unreadable);
        }
        Ok(Self(text.into()))
    }

    /// Creates a word from bytes.
    ///
    /// # Errors
    /// Returns an error if the bytes are not the text of one word, or are too long.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, MalformedMessage> {
        let text = std::str::from_utf8(bytes).map_err(|_| MalformedMessage::Unreadable)?;
        Self::new(text)
    }

    /// Returns the word as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Converts the word into its text.
    pub fn into_text(self) -> SmolStr {
        self.0
    }
}

/// The last field of a message, which extends to its end. It is not empty and contains no control
/// character below the space, but may contain spaces.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct LastField(Bytes);

impl LastField {
    /// Creates a field from its text.
    ///
    /// # Errors
    /// Returns an error if the bytes are not text, are empty or are too long.
    pub fn new(text: Bytes) -> Result<Self, MalformedMessage> {
        if text.len() > MAX_LAST_FIELD_BYTES {
            return Err(MalformedMessage::TooLong);
        }
        let is_text = std::str::from_utf8(&text)
            .is_ok_and(|text| !text.is_empty() && !text.bytes().any(|byte| byte < b' '));
        if is_text {
            Ok(Self(text))
        } else {
            Err(MalformedMessage::Unreadable)
        }
    }

    /// Returns the field's bytes, which are valid UTF-8.
    pub fn bytes(&self) -> &Bytes {
        &self.0
    }

    /// Returns a copy that does not keep the message alive from which the field was decoded.
    #[must_use]
    pub fn detached(&self) -> Self {
        Self(Bytes::copy_from_slice(&self.0))
    }
}

/// A caller's id of a statement. It is not that of the commands that hosts themselves send.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct StatementId(Word);

impl StatementId {
    /// Creates an id from its text.
    ///
    /// # Errors
    /// Returns an error if the text is not one word, is too long, or marks a host's own command.
    pub fn new(text: &str) -> Result<Self, MalformedMessage> {
        if text == HOST_COMMAND_ID {
            return Err(MalformedMessage::Unreadable);
        }
        Word::new(text).map(Self)
    }

    /// Returns the id as text.
    pub fn as_str(&self) -> &str {
        self.0.as_str()
    }
}

/// A prepared statement, independent of the session that prepared it and of the connection that it
/// runs on.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PreparedStatement {
    name: StatementName,
    access: Access,
    shape: LastField,
}

impl PreparedStatement {
    /// Creates a statement from its content.
    pub fn new(access: Access, shape: LastField) -> Self {
        let kind: &[u8] = match access {
            Access::Read => b"read",
            Access::Write => b"write",
        };
        Self {
            name: StatementName::new([kind, shape.bytes()]),
            access,
            shape,
        }
    }

    /// Returns the statement's name on every connection.
    pub fn name(&self) -> &StatementName {
        &self.name
    }

    /// Returns whether the statement may change data.
    pub fn access(&self) -> Access {
        self.access
    }

    /// Returns the statement's content.
    pub fn shape(&self) -> &LastField {
        &self.shape
    }
}
