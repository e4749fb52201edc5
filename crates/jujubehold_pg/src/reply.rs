//! Backend messages that the proxy and the stand-ins send.

use bytes::{BufMut, BytesMut};
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use pgwire::messages::response::{
    CommandComplete, ErrorResponse, NoticeResponse, ReadyForQuery, TransactionStatus,
};
use pgwire::messages::startup::ParameterStatus;

use crate::frame::Frame;

/// The object ID of the type `text` in PostgreSQL's catalog.
const TEXT_TYPE_OID: u32 = 25;

/// The fields of an error or a notice.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct ErrorFields {
    /// ERROR, FATAL, WARNING or NOTICE.
    pub severity: String,
    /// The SQLSTATE.
    pub sqlstate: String,
    /// The error in one line.
    pub message: String,
    /// Additional details; omitted if empty.
    pub detail: String,
    /// A suggestion of what to do; omitted if empty.
    pub hint: String,
}

impl ErrorFields {
    fn into_pairs(self) -> Vec<(u8, String)> {
        let mut pairs = vec![
            (b'S', self.severity.clone()),
            (b'V', self.severity),
            (b'C', self.sqlstate),
            (b'M', self.message),
        ];
        if !self.detail.is_empty() {
            pairs.push((b'D', self.detail));
        }
        if !self.hint.is_empty() {
            pairs.push((b'H', self.hint));
        }
        pairs
    }
}

/// Encodes an error.
pub fn error_response(fields: ErrorFields) -> Frame {
    Frame::encode(&ErrorResponse::new(fields.into_pairs()))
}

/// Encodes a notice.
pub fn notice_response(fields: ErrorFields) -> Frame {
    Frame::encode(&NoticeResponse::new(fields.into_pairs()))
}

/// Encodes the completion of a statement with its command tag.
pub fn command_complete(tag: &str) -> Frame {
    Frame::encode(&CommandComplete::new(tag.to_owned()))
}

/// Encodes that the backend is ready for the next message.
///
/// `status` is `I` outside a transaction, `T` in a transaction or `E` in a failed transaction.
pub fn ready_for_query(status: u8) -> Frame {
    let status = match status {
        b'T' => TransactionStatus::Transaction,
        b'E' => TransactionStatus::Error,
        _ => TransactionStatus::Idle,
    };
    Frame::encode(&ReadyForQuery::new(status))
}

/// Encodes the value of a setting.
pub fn parameter_status(name: &str, value: &str) -> Frame {
    Frame::encode(&ParameterStatus::new(name.to_owned(), value.to_owned()))
}

/// Encodes the columns of a result, all of type `text`.
pub fn row_description(names: &[&str]) -> Frame {
    let fields = names
        .iter()
        .map(|name| FieldDescription::new((*name).to_owned(), 0, 0, TEXT_TYPE_OID, -1, -1, 0))
        .collect();
    Frame::encode(&RowDescription::new(fields))
}

/// Encodes a row of text values; `None` is null.
pub fn text_row(values: &[Option<&str>]) -> Frame {
    let mut data = BytesMut::new();
    for value in values {
        match value {
            Some(text) => {
                data.put_i32(i32::try_from(text.len()).unwrap_or(i32::MAX));
                data.put_slice(text.as_bytes());
            }
            None => data.put_i32(-1),
        }
    }
    Frame::encode(&DataRow::new(
        data,
        i16::try_from(values.len()).unwrap_or(i16::MAX),
    ))
}
