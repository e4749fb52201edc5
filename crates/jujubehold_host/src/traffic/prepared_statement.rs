//! A caller's prepared statement.

use bytes::Bytes;
use jujubehold_core::prelude::*;
use jujubehold_core::statement_name::StatementName;

/// A statement that a caller prepared, independent of the connection that it runs on.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    /// The statement's name on every upstream connection.
    pub(crate) upstream_name: StatementName,
    /// The content of its Parse message after the name.
    pub(crate) text_and_types: Bytes,
    // The length of the text at the start of `text_and_types`.
    text_bytes: usize,
    /// The statement's class.
    pub(crate) class: StatementClass,
}

impl PreparedStatement {
    /// Creates a statement from the content of its Parse message after the name.
    pub(crate) fn new(text_and_types: Bytes, text_bytes: usize, class: StatementClass) -> Self {
        Self {
            upstream_name: StatementName::new([&text_and_types[..]]),
            text_and_types,
            text_bytes,
            class,
        }
    }

    /// Returns the statement's text.
    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.text_and_types[..self.text_bytes]).unwrap_or_default()
    }
}
