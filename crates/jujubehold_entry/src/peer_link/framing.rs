//! The encoding of messages on a link: each is preceded by its length.

use bytes::{Buf, BytesMut};
use prost::Message;

use super::frame::Frame;
use crate::pool::MAX_STATEMENT_BYTES;
use crate::protocol::MAX_WORD_BYTES;

/// The maximum length of a message: a line of a caller or an instance, and what is sent with it.
const MAX_FRAME_BYTES: usize = 1024 * 1024 + 64 * 1024;
// The longest request: a statement, its id, the instance, the customer, and numbers. One that is longer
// would end the link, and with it the leases of all sessions that use it.
const _: () = assert!(MAX_STATEMENT_BYTES + 3 * MAX_WORD_BYTES + 1024 <= MAX_FRAME_BYTES);

/// The length of the prefix, which is a number in network byte order.
const PREFIX_BYTES: usize = 4;

/// Why bytes are not a message.
#[derive(Debug, thiserror::Error)]
pub(crate) enum FrameError {
    #[error("the message has {0} bytes")]
    TooLong(usize),
    #[error("the message can't be read: {0}")]
    Unreadable(#[from] prost::DecodeError),
}

/// Appends a message to `out`.
pub(crate) fn put_frame(frame: &Frame, out: &mut BytesMut) {
    let length = frame.encoded_len();
    let prefix = u32::try_from(length).expect("a message is no longer than a few lines");
    out.reserve(PREFIX_BYTES + length);
    out.extend_from_slice(&prefix.to_be_bytes());
    frame
        .encode(out)
        .expect("the buffer of a message grows as needed");
}

/// Removes one complete message from `buffer`; `None` until there is one.
pub(crate) fn take_frame(buffer: &mut BytesMut) -> Result<Option<Frame>, FrameError> {
    let Some(prefix) = buffer.first_chunk::<PREFIX_BYTES>() else {
        return Ok(None);
    };
    let length = usize::try_from(u32::from_be_bytes(*prefix)).unwrap_or(usize::MAX);
    if length > MAX_FRAME_BYTES {
        return Err(FrameError::TooLong(length));
    }
    if buffer.len() < PREFIX_BYTES + length {
        return Ok(None);
    }
    buffer.advance(PREFIX_BYTES);
    Ok(Some(Frame::decode(buffer.split_to(length).freeze())?))
}
