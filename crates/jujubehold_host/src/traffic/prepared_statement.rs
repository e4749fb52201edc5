//! A caller's prepared statement.

use std::fmt::Write;

use bytes::Bytes;
use jujubehold_core::prelude::*;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// How many bytes of the hash a statement name contains.
const NAME_HASH_BYTES: usize = 16;

/// A statement that a caller prepared, independent of the connection that it runs on.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    /// The statement's name on every upstream connection.
    pub(crate) upstream_name: SmolStr,
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
        // A collision would run another caller's statement, so the hash must be cryptographic.
        let digest = Sha256::digest(&text_and_types);
        let mut upstream_name = String::from("jb");
        for byte in &digest[..NAME_HASH_BYTES] {
            let _ = write!(upstream_name, "{byte:02x}");
        }
        Self {
            upstream_name: upstream_name.into(),
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
