//! The transaction that a connection is in.

/// An open transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub(crate) struct Transaction {
    /// A statement failed in it: only a rollback is taken.
    pub(crate) is_failed: bool,
    pub(crate) is_read_only: bool,
    /// Opened for a query of several statements, not by the caller.
    pub(crate) is_implicit: bool,
    /// The texts that go to the log when it commits.
    pub(crate) writes: Vec<String>,
}
