//! One message with its tag and its length.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use thiserror::Error;

/// The tag and the length field of a message, in bytes.
const HEADER_BYTES: usize = 5;

/// The longest message that is taken from a caller or an upstream, in bytes.
pub(crate) const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Tags of messages that a backend sends.
pub mod backend {
    /// Authentication request.
    pub const AUTHENTICATION: u8 = b'R';
    /// Cancellation key.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// Bind is done.
    pub const BIND_COMPLETE: u8 = b'2';
    /// Close is done.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// A statement is done.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// COPY from the caller starts.
    pub const COPY_IN_RESPONSE: u8 = b'G';
    /// COPY to the caller starts.
    pub const COPY_OUT_RESPONSE: u8 = b'H';
    /// One row.
    pub const DATA_ROW: u8 = b'D';
    /// The query was empty.
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    /// A statement failed.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// The statement returns no rows.
    pub const NO_DATA: u8 = b'n';
    /// A notice.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// A notification by LISTEN.
    pub const NOTIFICATION_RESPONSE: u8 = b'A';
    /// The types of a statement's parameters.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// A setting's value.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// Parse is done.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// The portal has more rows.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// The backend waits for the next message.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// The columns of a result.
    pub const ROW_DESCRIPTION: u8 = b'T';
}

/// Tags of messages that a frontend sends.
pub mod frontend {
    /// Bind parameters to a statement.
    pub const BIND: u8 = b'B';
    /// Close a statement or portal.
    pub const CLOSE: u8 = b'C';
    /// COPY data.
    pub const COPY_DATA: u8 = b'd';
    /// COPY is done.
    pub const COPY_DONE: u8 = b'c';
    /// COPY failed.
    pub const COPY_FAIL: u8 = b'f';
    /// Describe a statement or portal.
    pub const DESCRIBE: u8 = b'D';
    /// Run a portal.
    pub const EXECUTE: u8 = b'E';
    /// Send what is buffered.
    pub const FLUSH: u8 = b'H';
    /// Call a function by its number.
    pub const FUNCTION_CALL: u8 = b'F';
    /// Prepare a statement.
    pub const PARSE: u8 = b'P';
    /// A password or a SASL answer.
    pub const PASSWORD: u8 = b'p';
    /// Run SQL text.
    pub const QUERY: u8 = b'Q';
    /// End of an extended query.
    pub const SYNC: u8 = b'S';
    /// The frontend leaves.
    pub const TERMINATE: u8 = b'X';
}

/// Why bytes could not be read as messages.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The connection ended within a message.
    #[error("the connection ended within a message")]
    Truncated,
    /// A message is longer than is taken, or its length is impossible.
    #[error("a message has an impossible length of {length_bytes} bytes")]
    Length {
        /// The stated length.
        length_bytes: usize,
    },
    /// A message's content does not match its tag.
    #[error("a message is malformed: {0}")]
    Malformed(String),
}

/// One message: the tag, and all its bytes with the tag and the length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// Encodes a message.
    ///
    /// # Panics
    /// Panics when the message can't be encoded, which only a message over 2 GB can't.
    pub fn encode(message: &impl Message) -> Self {
        let mut buffer = BytesMut::new();
        message
            .encode(&mut buffer)
            .expect("a message of ordinary size can be encoded");
        Self {
            bytes: buffer.freeze(),
        }
    }

    /// Cuts the first message from `buffer`, or returns `None` while it is incomplete.
    ///
    /// # Errors
    /// The length is impossible.
    pub fn cut(buffer: &mut BytesMut) -> Result<Option<Self>, FrameError> {
        if buffer.len() < HEADER_BYTES {
            return Ok(None);
        }
        let length_bytes = (&buffer[1..HEADER_BYTES]).get_u32() as usize;
        if !(4..=MAX_FRAME_BYTES).contains(&length_bytes) {
            return Err(FrameError::Length { length_bytes });
        }
        if buffer.len() <= length_bytes {
            buffer.reserve(length_bytes + 1 - buffer.len());
            return Ok(None);
        }
        Ok(Some(Self {
            bytes: buffer.split_to(length_bytes + 1).freeze(),
        }))
    }

    /// The tag, one of [`backend`] or [`frontend`] by direction.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// All bytes, with the tag and the length.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// The bytes after the length.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// Decodes the message as one of pgwire's types.
    ///
    /// # Errors
    /// The content does not match.
    pub fn decode<M: Message>(&self) -> Result<M, FrameError> {
        let mut buffer = BytesMut::from(self.body());
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        M::decode_body(&mut buffer, self.bytes.len() - 1, &context)
            .map_err(|error| FrameError::Malformed(error.to_string()))
    }

    /// The field of an error's or a notice's body that `code` names, such as `C` for the SQLSTATE.
    pub fn error_field(&self, code: u8) -> Option<&str> {
        self.body()
            .split(|byte| *byte == 0)
            .find_map(|field| field.strip_prefix(&[code]))
            .and_then(|field| std::str::from_utf8(field).ok())
    }

    /// The first text of the body, up to its closing zero; `None` when it is not text.
    pub fn first_text(&self) -> Option<&str> {
        let body = self.body();
        let end = body.iter().position(|byte| *byte == 0)?;
        std::str::from_utf8(&body[..end]).ok()
    }
}
