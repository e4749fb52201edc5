//! What a statement does, as far as routing cares.

use crate::key_type;

key_type! {
    /// The class of one SQL statement; an unsure one counts as a write.
    pub enum StatementClass {
        /// It changes nothing and may run twice.
        Read,
        /// It may change data.
        Write,
        /// It opens a transaction that may write.
        Begin,
        /// It opens a transaction that only reads.
        BeginReadOnly,
        /// It ends a transaction and keeps its effect.
        Commit,
        /// It ends a transaction and drops its effect.
        Rollback,
        /// It sets or shows a setting of the proxy's session.
        Session,
        /// It needs session state that a pool can't carry.
        Unsupported,
    }
}
