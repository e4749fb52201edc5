//! Messages of the extended query protocol, decoded as far as statement and portal names.

use bytes::{BufMut, Bytes, BytesMut};
use jujubehold_core::statement_name::StatementName;
use smol_str::SmolStr;

use crate::frame::{Frame, FrameError, frontend};

/// The parts of an extended protocol message that the proxy needs.
///
/// Parameters and formats are forwarded without decoding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExtendedMessage {
    /// Prepare a statement.
    Parse {
        /// The caller's name for the statement; empty for the unnamed statement.
        name: SmolStr,
        /// The statement's text and the bytes after it: the terminating zero byte and the number
        /// and types of the parameters.
        text_and_types: Bytes,
        /// The length of the text in bytes, without the zero byte.
        text_bytes: usize,
    },
    /// Bind parameters to a statement.
    Bind {
        /// The portal's name.
        portal: SmolStr,
        /// The caller's name for the statement.
        statement: SmolStr,
        /// The bytes after the names: formats and parameters.
        rest: Bytes,
    },
    /// Describe a statement.
    DescribeStatement(SmolStr),
    /// Describe a portal.
    DescribePortal,
    /// Execute a portal.
    Execute {
        /// The portal's name.
        portal: SmolStr,
    },
    /// Close a statement.
    CloseStatement(SmolStr),
    /// Close a portal.
    ClosePortal,
    /// End a pipeline.
    Sync,
    /// Ask the backend to send its buffered output.
    Flush,
}

impl ExtendedMessage {
    /// Decodes a frame, or returns `None` if its tag is not part of the extended protocol.
    ///
    /// # Errors
    /// Returns an error if the content does not match the tag.
    pub fn read(frame: &Frame) -> Result<Option<Self>, FrameError> {
        let body = frame.bytes().slice(5..);
        Ok(Some(match frame.tag() {
            frontend::PARSE => {
                let (name, text_and_types) = split_text(&body)?;
                let text_bytes = find_terminator(&text_and_types)?;
                std::str::from_utf8(&text_and_types[..text_bytes])
                    .map_err(|error| FrameError::Malformed(error.to_string()))?;
                Self::Parse {
                    name,
                    text_and_types,
                    text_bytes,
                }
            }
            frontend::BIND => {
                let (portal, rest) = split_text(&body)?;
                let (statement, rest) = split_text(&rest)?;
                Self::Bind {
                    portal,
                    statement,
                    rest,
                }
            }
            frontend::DESCRIBE => match read_target(&body)? {
                (b'S', name) => Self::DescribeStatement(name),
                _ => Self::DescribePortal,
            },
            frontend::CLOSE => match read_target(&body)? {
                (b'S', name) => Self::CloseStatement(name),
                _ => Self::ClosePortal,
            },
            frontend::EXECUTE => {
                let (portal, _) = split_text(&body)?;
                Self::Execute { portal }
            }
            frontend::SYNC => Self::Sync,
            frontend::FLUSH => Self::Flush,
            _ => return Ok(None),
        }))
    }
}

fn find_terminator(bytes: &[u8]) -> Result<usize, FrameError> {
    let end = bytes.iter().position(|byte| *byte == 0);
    end.ok_or_else(|| FrameError::Malformed("a text without its end".to_owned()))
}

fn split_text(bytes: &Bytes) -> Result<(SmolStr, Bytes), FrameError> {
    let end = find_terminator(bytes)?;
    let text = std::str::from_utf8(&bytes[..end])
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    Ok((text.into(), bytes.slice(end + 1..)))
}

fn read_target(body: &Bytes) -> Result<(u8, SmolStr), FrameError> {
    let Some(kind @ (b'S' | b'P')) = body.first().copied() else {
        return Err(FrameError::Malformed(
            "neither statement nor portal".to_owned(),
        ));
    };
    let (name, _) = split_text(&body.slice(1..))?;
    Ok((kind, name))
}

fn put_message(out: &mut BytesMut, tag: u8, parts: &[&[u8]]) {
    let length_bytes = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.put_u8(tag);
    out.put_u32(u32::try_from(length_bytes).unwrap_or(u32::MAX));
    for part in parts {
        out.put_slice(part);
    }
}

/// Writes a Parse message that prepares a statement as `name`; `text_and_types` is that of
/// [`ExtendedMessage::Parse`].
pub fn parse(out: &mut BytesMut, name: &StatementName, text_and_types: &[u8]) {
    put_message(
        out,
        frontend::PARSE,
        &[name.as_str().as_bytes(), b"\0", text_and_types],
    );
}

/// Writes a Bind message for the statement `name`; `rest` is that of [`ExtendedMessage::Bind`].
pub fn bind_to(out: &mut BytesMut, portal: &str, name: &StatementName, rest: &[u8]) {
    let name = name.as_str().as_bytes();
    let parts = [portal.as_bytes(), b"\0", name, b"\0", rest];
    put_message(out, frontend::BIND, &parts);
}

/// Writes a Describe message for the statement `name`.
pub fn describe_statement(out: &mut BytesMut, name: &StatementName) {
    let name = name.as_str().as_bytes();
    put_message(out, frontend::DESCRIBE, &[b"S", name, b"\0"]);
}

/// Writes a Close message for the statement `name`.
pub fn close_statement(out: &mut BytesMut, name: &StatementName) {
    let name = name.as_str().as_bytes();
    put_message(out, frontend::CLOSE, &[b"S", name, b"\0"]);
}

/// Writes a Sync message.
pub fn sync(out: &mut BytesMut) {
    put_message(out, frontend::SYNC, &[]);
}

/// Writes a Flush message.
pub fn flush(out: &mut BytesMut) {
    put_message(out, frontend::FLUSH, &[]);
}

/// Writes the reply to a successful Parse.
pub fn parse_complete(out: &mut BytesMut) {
    put_message(out, crate::frame::backend::PARSE_COMPLETE, &[]);
}

/// Writes the reply to a successful Close.
pub fn close_complete(out: &mut BytesMut) {
    put_message(out, crate::frame::backend::CLOSE_COMPLETE, &[]);
}
