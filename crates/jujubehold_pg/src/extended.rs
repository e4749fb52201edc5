//! Messages of the extended query protocol, as far as statement names go.

use bytes::{BufMut, Bytes, BytesMut};
use smol_str::SmolStr;

use crate::frame::{Frame, FrameError, frontend};

/// What the proxy must know of a message of the extended protocol.
///
/// Parameters and formats are passed on unread.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum ExtendedMessage {
    /// Prepare a statement.
    Parse {
        /// The caller's name for it; empty for the unnamed one.
        name: SmolStr,
        /// Its text, and all that follows: the zero, the count and the types of parameters.
        text_and_types: Bytes,
        /// The length of the text, in bytes.
        text_bytes: usize,
    },
    /// Bind parameters to a statement.
    Bind {
        /// The portal.
        portal: SmolStr,
        /// The caller's name of the statement.
        statement: SmolStr,
        /// What follows: formats and parameters.
        rest: Bytes,
    },
    /// Describe a statement.
    DescribeStatement(SmolStr),
    /// Describe a portal.
    DescribePortal,
    /// Run a portal.
    Execute {
        /// The portal.
        portal: SmolStr,
    },
    /// Close a statement.
    CloseStatement(SmolStr),
    /// Close a portal.
    ClosePortal,
    /// End of a pipeline.
    Sync,
    /// Send what is buffered.
    Flush,
}

impl ExtendedMessage {
    /// Reads a frame; `None` when its tag is not one of the extended protocol.
    ///
    /// # Errors
    /// The content does not match the tag.
    pub fn read(frame: &Frame) -> Result<Option<Self>, FrameError> {
        let body = frame.bytes().slice(5..);
        Ok(Some(match frame.tag() {
            frontend::PARSE => {
                let (name, text_and_types) = take_text(&body)?;
                let text_bytes = find_zero(&text_and_types)?;
                Self::Parse {
                    name,
                    text_and_types,
                    text_bytes,
                }
            }
            frontend::BIND => {
                let (portal, rest) = take_text(&body)?;
                let (statement, rest) = take_text(&rest)?;
                Self::Bind {
                    portal,
                    statement,
                    rest,
                }
            }
            frontend::DESCRIBE => match take_kind(&body)? {
                (b'S', name) => Self::DescribeStatement(name),
                _ => Self::DescribePortal,
            },
            frontend::CLOSE => match take_kind(&body)? {
                (b'S', name) => Self::CloseStatement(name),
                _ => Self::ClosePortal,
            },
            frontend::EXECUTE => {
                let (portal, _) = take_text(&body)?;
                Self::Execute { portal }
            }
            frontend::SYNC => Self::Sync,
            frontend::FLUSH => Self::Flush,
            _ => return Ok(None),
        }))
    }
}

fn find_zero(bytes: &[u8]) -> Result<usize, FrameError> {
    let end = bytes.iter().position(|byte| *byte == 0);
    end.ok_or_else(|| FrameError::Malformed("a text without its end".to_owned()))
}

fn take_text(bytes: &Bytes) -> Result<(SmolStr, Bytes), FrameError> {
    let end = find_zero(bytes)?;
    let text = std::str::from_utf8(&bytes[..end])
        .map_err(|error| FrameError::Malformed(error.to_string()))?;
    Ok((text.into(), bytes.slice(end + 1..)))
}

fn take_kind(body: &Bytes) -> Result<(u8, SmolStr), FrameError> {
    let Some(kind @ (b'S' | b'P')) = body.first().copied() else {
        return Err(FrameError::Malformed(
            "neither statement nor portal".to_owned(),
        ));
    };
    let (name, _) = take_text(&body.slice(1..))?;
    Ok((kind, name))
}

fn put(out: &mut BytesMut, tag: u8, parts: &[&[u8]]) {
    let length_bytes = 4 + parts.iter().map(|part| part.len()).sum::<usize>();
    out.put_u8(tag);
    out.put_u32(u32::try_from(length_bytes).unwrap_or(u32::MAX));
    for part in parts {
        out.put_slice(part);
    }
}

/// Writes a Parse of a statement under `name`.
pub fn parse(out: &mut BytesMut, name: &str, text_and_types: &[u8]) {
    put(
        out,
        frontend::PARSE,
        &[name.as_bytes(), b"\0", text_and_types],
    );
}

/// Writes a Bind to the statement `name`.
pub fn bind_to(out: &mut BytesMut, portal: &str, name: &str, rest: &[u8]) {
    let parts = [portal.as_bytes(), b"\0", name.as_bytes(), b"\0", rest];
    put(out, frontend::BIND, &parts);
}

/// Writes a Describe of the statement `name`.
pub fn describe_statement(out: &mut BytesMut, name: &str) {
    put(out, frontend::DESCRIBE, &[b"S", name.as_bytes(), b"\0"]);
}

/// Writes a Close of the statement `name`.
pub fn close_statement(out: &mut BytesMut, name: &str) {
    put(out, frontend::CLOSE, &[b"S", name.as_bytes(), b"\0"]);
}

/// Writes a Sync.
pub fn sync(out: &mut BytesMut) {
    put(out, frontend::SYNC, &[]);
}

/// Writes a Flush.
pub fn flush(out: &mut BytesMut) {
    put(out, frontend::FLUSH, &[]);
}

/// Writes the answer to a Parse.
pub fn parse_complete(out: &mut BytesMut) {
    put(out, crate::frame::backend::PARSE_COMPLETE, &[]);
}

/// Writes the answer to a Close.
pub fn close_complete(out: &mut BytesMut) {
    put(out, crate::frame::backend::CLOSE_COMPLETE, &[]);
}
