//! A caller's prepared statement.

use std::cell::RefCell;

use bytes::Bytes;
use jujubehold_core::prelude::*;
use jujubehold_core::statement_name::StatementName;
use smol_str::SmolStr;

/// A statement that a caller prepared, independent of the connection that it runs on.
#[derive(Debug)]
pub(crate) struct PreparedStatement {
    /// The content of its Parse message after the name.
    pub(crate) text_and_types: Bytes,
    // The length of the text at the start of `text_and_types`.
    text_bytes: usize,
    /// The statement's class.
    pub(crate) class: StatementClass,
    // Its name on connections without settings.
    plain_name: StatementName,
    // The other settings under which it was last named, and that name.
    last_named: RefCell<Option<(SmolStr, StatementName)>>,
}

impl PreparedStatement {
    /// Creates a statement from the content of its Parse message after the name.
    pub(crate) fn new(message: &[u8], text_bytes: usize, class: StatementClass) -> Self {
        // Copied, since a part of the message would keep the whole buffer of what was read.
        let text_and_types = Bytes::copy_from_slice(message);
        Self {
            plain_name: StatementName::new([&text_and_types[..]]),
            last_named: RefCell::default(),
            text_and_types,
            text_bytes,
            class,
        }
    }

    /// Returns the statement's name on a connection with these settings.
    ///
    /// The settings are part of its content: the upstream reads literals when it prepares a
    /// statement, for example a time without a zone by the time zone of that moment.
    pub(crate) fn name_under(&self, settings: &SmolStr) -> StatementName {
        if settings.is_empty() {
            return self.plain_name.clone();
        }
        let mut last_named = self.last_named.borrow_mut();
        if let Some((under, name)) = &*last_named
            && under == settings
        {
            return name.clone();
        }
        let name = StatementName::new([settings.as_bytes(), &self.text_and_types]);
        *last_named = Some((settings.clone(), name.clone()));
        name
    }

    /// Returns the statement's text.
    pub(crate) fn text(&self) -> &str {
        std::str::from_utf8(&self.text_and_types[..self.text_bytes]).unwrap_or_default()
    }
}
