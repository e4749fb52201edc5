//! One protocol message with its tag and length.

use bytes::{Buf, Bytes, BytesMut};
use pgwire::messages::{DecodeContext, Message, ProtocolVersion};
use thiserror::Error;

/// The size of the tag and the length field together.
const HEADER_BYTES: usize = 5;

/// The maximum length of a message from a caller or an upstream, without its tag.
pub(crate) const MAX_FRAME_BYTES: usize = 64 * 1024 * 1024;

/// Tags of the messages that a backend sends.
pub mod backend {
    /// Authentication request.
    pub const AUTHENTICATION: u8 = b'R';
    /// Cancellation key.
    pub const BACKEND_KEY_DATA: u8 = b'K';
    /// Bind succeeded.
    pub const BIND_COMPLETE: u8 = b'2';
    /// Close succeeded.
    pub const CLOSE_COMPLETE: u8 = b'3';
    /// A statement completed.
    pub const COMMAND_COMPLETE: u8 = b'C';
    /// COPY from the frontend starts.
    pub const COPY_IN_RESPONSE: u8 = b'G';
    /// COPY to the frontend starts.
    pub const COPY_OUT_RESPONSE: u8 = b'H';
    /// One row of a result.
    pub const DATA_ROW: u8 = b'D';
    /// The query was empty.
    pub const EMPTY_QUERY_RESPONSE: u8 = b'I';
    /// A statement failed.
    pub const ERROR_RESPONSE: u8 = b'E';
    /// The statement returns no rows.
    pub const NO_DATA: u8 = b'n';
    /// A notice.
    pub const NOTICE_RESPONSE: u8 = b'N';
    /// A notification on a channel that LISTEN subscribed to.
    pub const NOTIFICATION_RESPONSE: u8 = b'A';
    /// The types of a statement's parameters.
    pub const PARAMETER_DESCRIPTION: u8 = b't';
    /// A setting's value.
    pub const PARAMETER_STATUS: u8 = b'S';
    /// Parse succeeded.
    pub const PARSE_COMPLETE: u8 = b'1';
    /// The portal has more rows.
    pub const PORTAL_SUSPENDED: u8 = b's';
    /// The backend is ready for the next message.
    pub const READY_FOR_QUERY: u8 = b'Z';
    /// The columns of a result.
    pub const ROW_DESCRIPTION: u8 = b'T';
}

/// Tags of the messages that a frontend sends.
pub mod frontend {
    /// Bind parameters to a statement.
    pub const BIND: u8 = b'B';
    /// Close a statement or portal.
    pub const CLOSE: u8 = b'C';
    /// COPY data.
    pub const COPY_DATA: u8 = b'd';
    /// End of COPY data.
    pub const COPY_DONE: u8 = b'c';
    /// COPY failed.
    pub const COPY_FAIL: u8 = b'f';
    /// Describe a statement or portal.
    pub const DESCRIBE: u8 = b'D';
    /// Execute a portal.
    pub const EXECUTE: u8 = b'E';
    /// Ask the backend to send its buffered output.
    pub const FLUSH: u8 = b'H';
    /// Call a function by its object ID.
    pub const FUNCTION_CALL: u8 = b'F';
    /// Prepare a statement.
    pub const PARSE: u8 = b'P';
    /// A password or a SASL response.
    pub const PASSWORD: u8 = b'p';
    /// Run SQL text with the simple query protocol.
    pub const QUERY: u8 = b'Q';
    /// End of an extended query.
    pub const SYNC: u8 = b'S';
    /// The frontend closes the connection.
    pub const TERMINATE: u8 = b'X';
}

/// Errors in reading messages from a byte stream.
#[derive(Debug, Error)]
pub enum FrameError {
    /// The connection failed.
    #[error("the connection failed: {0}")]
    Io(#[from] std::io::Error),
    /// The connection ended within a message.
    #[error("the connection ended within a message")]
    Truncated,
    /// A message exceeds the maximum length, or its length is too small.
    #[error("a message has an impossible length of {length_bytes} bytes")]
    Length {
        /// The length that the message states.
        length_bytes: usize,
    },
    /// A message's content does not match its tag.
    #[error("a message is malformed: {0}")]
    Malformed(String),
}

/// One message as its complete bytes, including the tag and the length.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Frame {
    bytes: Bytes,
}

impl Frame {
    /// Encodes a message.
    ///
    /// # Panics
    /// Panics if the message can't be encoded, which happens only for messages over 2 GB.
    pub fn encode(message: &impl Message) -> Self {
        let mut buffer = BytesMut::new();
        message
            .encode(&mut buffer)
            .expect("messages below 2 GB can be encoded");
        Self {
            bytes: buffer.freeze(),
        }
    }

    /// Splits the first message off `buffer`, or returns `None` if it is incomplete.
    ///
    /// # Errors
    /// Returns an error if the length is too small or exceeds the maximum.
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

    /// Returns the tag, one of those in [`backend`] or [`frontend`] depending on the direction.
    pub fn tag(&self) -> u8 {
        self.bytes[0]
    }

    /// Returns all bytes, including the tag and the length.
    pub fn bytes(&self) -> &Bytes {
        &self.bytes
    }

    /// Returns the bytes after the length.
    pub fn body(&self) -> &[u8] {
        &self.bytes[HEADER_BYTES..]
    }

    /// Decodes the message as one of pgwire's types.
    ///
    /// # Errors
    /// Returns an error if the content does not match the type.
    pub fn decode<M: Message>(&self) -> Result<M, FrameError> {
        let mut buffer = BytesMut::from(self.body());
        let context = DecodeContext::new(ProtocolVersion::PROTOCOL3_0);
        M::decode_body(&mut buffer, self.bytes.len() - 1, &context)
            .map_err(|error| FrameError::Malformed(error.to_string()))
    }

    /// Returns the field with the given code, such as `C` for the SQLSTATE, of an error or a
    /// notice.
    pub fn error_field(&self, code: u8) -> Option<&str> {
        self.body()
            .split(|byte| *byte == 0)
            .find_map(|field| field.strip_prefix(&[code]))
            .and_then(|field| std::str::from_utf8(field).ok())
    }

    /// Returns the first text of the body, up to its terminating zero byte; `None` if it is not
    /// valid UTF-8 or not terminated.
    pub fn first_text(&self) -> Option<&str> {
        let body = self.body();
        let end = body.iter().position(|byte| *byte == 0)?;
        std::str::from_utf8(&body[..end]).ok()
    }
}
