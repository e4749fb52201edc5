//! The state of a connection's open transaction.

/// An open transaction.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
#[expect(
    clippy::struct_excessive_bools,
    reason = "the flags are independent of each other"
)]
pub(crate) struct Transaction {
    /// A statement in the transaction failed, so only its end is accepted.
    pub(crate) is_failed: bool,
    pub(crate) is_read_only: bool,
    /// The transaction was opened implicitly for a query of several statements, not by the caller.
    pub(crate) is_implicit: bool,
    /// A transaction has begun in `SQLite`. It begins at the first write and holds the write lock,
    /// so that earlier reads see the newest commits, as in READ COMMITTED.
    pub(crate) is_begun_in_sqlite: bool,
    /// A statement has written data; savepoints alone do not count.
    pub(crate) has_written: bool,
    /// The statements to append to the log on commit.
    pub(crate) writes: Vec<String>,
}
