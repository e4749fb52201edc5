//! The classes of statements that routing distinguishes.

use crate::key_type;

key_type! {
    /// The class of one SQL statement; a statement that can't be classified counts as a write.
    pub enum StatementClass {
        /// The statement changes nothing and may run twice.
        Read,
        /// The statement may change data.
        Write,
        /// The statement opens a transaction that may write.
        Begin,
        /// The statement opens a read-only transaction.
        BeginReadOnly,
        /// The statement commits a transaction.
        Commit,
        /// The statement rolls back a transaction.
        Rollback,
        /// The statement sets or shows a setting of the proxy's session.
        Session,
        /// The statement needs session state that a connection pool can't preserve.
        Unsupported,
    }
}
