//! The record of the prepared statements that an instance ran.

use std::collections::BTreeMap;

/// A prepared statement that an instance ran, as it arrived.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct StatementRun {
    /// The statement's name on its connection.
    pub name: String,
    /// The statement's text.
    pub sql: String,
    /// The parameters, in the format in which they were sent; `None` is null.
    pub parameters: Vec<Option<Vec<u8>>>,
    /// The connection's settings when the statement was prepared, which may be part of its meaning.
    pub prepared_under: BTreeMap<String, String>,
    /// The connection's settings when the statement ran.
    pub ran_under: BTreeMap<String, String>,
}
