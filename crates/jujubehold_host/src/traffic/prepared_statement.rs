//! A caller's prepared statement.

use std::fmt::Write;

use bytes::Bytes;
use jujubehold_core::prelude::*;
use sha2::{Digest, Sha256};
use smol_str::SmolStr;

/// How much of the hash a name holds, in bytes.
const NAME_BYTES: usize = 16;

/// A statement that a caller prepared, whichever connection it runs on.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    /// The name that it has on every upstream connection.
    pub(crate) upstream_name: SmolStr,
    /// The rest of its Parse message.
    pub(crate) text_and_types: Bytes,
    text_bytes: usize,
    /// What it does.
    pub(crate) class: StatementClass,
}

impl PreparedStatement {
    /// A statement by its Parse message's content, after the name.
    pub(crate) fn new(text_and_types: Bytes, text_bytes: usize, class: StatementClass) -> Self {
        // A collision would run another caller's statement, so the hash is a cryptographic one.
        let digest = Sha256::digest(&text_and_types);
        let mut upstream_name = String::from("jb");
        for byte in &digest[..NAME_BYTES] {
            let _ = write!(upstream_name, "{byte:02x}");
        }
        Self {
            upstream_name: upstream_name.into(),
            text_and_types,
            text_bytes,
            class,
        }
    }

    /// The statement's text.
    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.text_and_types[..self.text_bytes]).unwrap_or_default()
    }
}
