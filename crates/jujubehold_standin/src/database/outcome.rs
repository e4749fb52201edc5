//! The result of a statement and its encoding as protocol messages.

use bytes::BytesMut;
use jujubehold_pg::Frame;
use pgwire::messages::data::{DataRow, FieldDescription, RowDescription};
use rusqlite::types::Value;

use super::sql_type::SqlType;

/// A column of a result.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Column {
    pub(crate) name: String,
    pub(crate) sql_type: SqlType,
}

/// The result of a statement.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Outcome {
    /// The result columns; empty for a statement that returns no rows.
    pub(crate) columns: Vec<Column>,
    pub(crate) rows: Vec<Vec<Value>>,
    /// The command tag; empty for an empty statement.
    pub(crate) tag: String,
}

impl Outcome {
    pub(crate) fn without_rows(tag: impl Into<String>) -> Self {
        Self {
            columns: Vec::new(),
            rows: Vec::new(),
            tag: tag.into(),
        }
    }

    /// Creates a result whose columns are all of type text.
    pub(crate) fn text_rows(names: &[&str], rows: Vec<Vec<String>>) -> Self {
        let columns = names
            .iter()
            .map(|name| Column {
                name: (*name).to_owned(),
                sql_type: SqlType::Text,
            })
            .collect();
        let tag = format!("SELECT {}", rows.len());
        let rows = rows
            .into_iter()
            .map(|row| row.into_iter().map(Value::Text).collect())
            .collect();
        Self { columns, rows, tag }
    }
}

/// Returns whether the format codes of a Bind message select the binary format for the value at
/// `index`.
pub(crate) fn is_binary(formats: &[i16], index: usize) -> bool {
    match formats {
        [] => false,
        [all] => *all == 1,
        each => each.get(index) == Some(&1),
    }
}

pub(crate) fn row_description(columns: &[Column], formats: &[i16]) -> Frame {
    let fields = columns
        .iter()
        .enumerate()
        .map(|(index, column)| {
            let format = i16::from(is_binary(formats, index));
            let oid = column.sql_type.oid();
            FieldDescription::new(column.name.clone(), 0, 0, oid, -1, -1, format)
        })
        .collect();
    Frame::encode(&RowDescription::new(fields))
}

pub(crate) fn data_row(columns: &[Column], row: &[Value], formats: &[i16]) -> Frame {
    let mut data = BytesMut::new();
    for (index, (column, value)) in columns.iter().zip(row).enumerate() {
        column
            .sql_type
            .write(value, is_binary(formats, index), &mut data);
    }
    Frame::encode(&DataRow::new(
        data,
        i16::try_from(row.len()).unwrap_or(i16::MAX),
    ))
}
