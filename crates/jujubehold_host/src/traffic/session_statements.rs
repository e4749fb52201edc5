//! The prepared statements of one session.

use std::collections::BTreeMap;
use std::rc::Rc;

use smol_str::SmolStr;

use super::prepared_statement::PreparedStatement;

/// The most statements that a session may have prepared at a time.
const MAX_STATEMENTS: usize = 4096;
/// The most bytes of their names, texts and parameter types.
const MAX_BYTES: usize = 4 * 1024 * 1024;

/// What a caller can do whose statements exceed a limit.
pub(crate) const STATEMENTS_HINT: &str = "Close prepared statements. A session may have 4096 of them, and 4 MiB of their names, texts \
     and parameter types.";

/// A session's prepared statements by the names that the caller gave them.
#[derive(Debug, Default)]
pub(crate) struct SessionStatements {
    by_name: BTreeMap<SmolStr, Rc<PreparedStatement>>,
    bytes: usize,
}

impl SessionStatements {
    /// Returns the statement of this name.
    pub(crate) fn get(&self, name: &str) -> Option<&Rc<PreparedStatement>> {
        self.by_name.get(name)
    }

    /// Adds or removes the statement of a name; returns what the name stood for.
    pub(crate) fn replace(
        &mut self,
        name: &SmolStr,
        statement: Option<Rc<PreparedStatement>>,
    ) -> Option<Rc<PreparedStatement>> {
        self.bytes += statement
            .as_ref()
            .map_or(0, |added| kept_bytes(name, added));
        let replaced = match statement {
            Some(statement) => self.by_name.insert(name.clone(), statement),
            None => self.by_name.remove(name),
        };
        self.bytes -= replaced
            .as_ref()
            .map_or(0, |removed| kept_bytes(name, removed));
        replaced
    }

    /// Returns whether there are more statements than a session may have.
    pub(crate) fn exceed_limit(&self) -> bool {
        self.by_name.len() > MAX_STATEMENTS || self.bytes > MAX_BYTES
    }
}

fn kept_bytes(name: &str, statement: &PreparedStatement) -> usize {
    name.len() + statement.text_and_types.len()
}
