//! How far a host's leaving has come.

jujubehold_core::key_type! {
    /// How far a host's leaving has come.
    pub(crate) enum Phase {
        /// It serves.
        Serving,
        /// It was asked to leave: it takes what comes, and says that it is not ready.
        Leaving,
        /// Sessions end as soon as they are between transactions.
        Ending,
        /// Transactions that are still open are given up.
        Closing,
    }
}
