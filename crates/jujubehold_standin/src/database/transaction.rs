//! The transaction that a connection is in.

/// An open transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[expect(clippy::struct_excessive_bools, reason = "each is a fact of its own")]
pub(crate) struct Transaction {
    /// A statement failed in it: only a rollback is taken.
    pub(crate) is_failed: bool,
    pub(crate) is_read_only: bool,
    /// Opened for a query of several statements, not by the caller.
    pub(crate) is_implicit: bool,
    /// The SQL library's own transaction is open. It opens at the first write and holds the write
    /// lock, so that reads before it see the newest commits, as at READ COMMITTED.
    pub(crate) is_begun_in_sqlite: bool,
    /// A statement wrote; savepoints alone change nothing.
    pub(crate) has_written: bool,
    /// The texts that go to the log when it commits.
    pub(crate) writes: Vec<String>,
}
