//! Checks whether a batch can run under a request name, and builds its answer from its record.

use bytes::{BufMut, BytesMut};
use jujubehold_core::prelude::*;
use jujubehold_core::request_name::{RequestDigest, digest};
use jujubehold_pg::{backend, close_complete, command_complete, is_one_statement, parse_complete};

use super::message_batch::{ExtendedItem, MessageBatch, StatementRef};

/// Why a batch can't run under a name, and what the caller can do.
pub(crate) type NamedHint = &'static str;

const ONE_STATEMENT: NamedHint = "A name is for one statement. For several, name the transaction: SET jujubehold.request, BEGIN.";
const PLAIN_BEGIN: NamedHint = "Send the BEGIN of a named transaction as a simple query.";
const NO_FLUSH: NamedHint = "End the message of a named statement with Sync, not with Flush.";
const NO_DESCRIBE: NamedHint =
    "Describe the statement in a message of its own, ahead of the one that runs it.";

impl MessageBatch {
    /// Returns the digest of the statement and its parameters.
    ///
    /// # Errors
    /// Returns what the caller can do if the batch can't run under a name.
    pub(crate) fn request_digest(&self) -> Result<RequestDigest, NamedHint> {
        if let Some(text) = self.text() {
            if !is_one_statement(text) {
                return Err(ONE_STATEMENT);
            }
            return Ok(digest([&b"simple"[..], text.trim().as_bytes()]));
        }
        self.check_items()?;
        let mut parts = vec![&b"extended"[..]];
        for item in self.items() {
            if let ExtendedItem::Bind {
                statement: StatementRef::Known(prepared),
                rest,
                ..
            } = item
            {
                parts.push(prepared.text().as_bytes());
                parts.push(rest);
            }
        }
        Ok(digest(parts))
    }

    /// Returns the text that opens a named transaction.
    ///
    /// # Errors
    /// Returns what the caller can do if the text is not a plain BEGIN.
    pub(crate) fn begin_text(&self) -> Result<&str, NamedHint> {
        let text = self.text().ok_or(PLAIN_BEGIN)?;
        if !is_one_statement(text) {
            return Err(ONE_STATEMENT);
        }
        Ok(text.trim().trim_end_matches(';'))
    }

    /// Returns whether the batch opens a transaction.
    pub(crate) fn is_begin(&self) -> bool {
        self.class == StatementClass::Begin
    }

    /// Writes the answer that the batch had when it ran, with the recorded command tag.
    pub(crate) fn put_recorded_answer(&self, tag: &str, out: &mut BytesMut) {
        if self.text().is_some() {
            out.extend_from_slice(command_complete(tag).bytes());
        }
        for item in self.items() {
            match item {
                ExtendedItem::Parse(_) => parse_complete(out),
                ExtendedItem::Bind { .. } => put_empty(out, backend::BIND_COMPLETE),
                ExtendedItem::DescribePortal(_) => put_empty(out, backend::NO_DATA),
                ExtendedItem::Execute(_) => {
                    out.extend_from_slice(command_complete(tag).bytes());
                }
                ExtendedItem::CloseStatement | ExtendedItem::ClosePortal(_) => close_complete(out),
                ExtendedItem::DescribeStatement(_) | ExtendedItem::Sync | ExtendedItem::Flush => {}
            }
        }
    }

    fn check_items(&self) -> Result<(), NamedHint> {
        if self.ends_with_flush {
            return Err(NO_FLUSH);
        }
        let items = self.items();
        let executes = items
            .iter()
            .filter(|item| matches!(item, ExtendedItem::Execute(_)));
        if !self.is_single || executes.count() != 1 {
            return Err(ONE_STATEMENT);
        }
        let is_described = items
            .iter()
            .any(|item| matches!(item, ExtendedItem::DescribeStatement(_)));
        if is_described {
            return Err(NO_DESCRIBE);
        }
        Ok(())
    }
}

fn put_empty(out: &mut BytesMut, tag: u8) {
    out.put_u8(tag);
    out.put_u32(4);
}
