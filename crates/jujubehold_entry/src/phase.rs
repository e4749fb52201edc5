//! The phases of a host from serving to its shutdown.

jujubehold_core::key_type! {
    /// The phase of a host.
    pub(crate) enum Phase {
        /// The host serves callers.
        Serving,
        /// The host was asked to stop. It still accepts callers and requests, but reports that it
        /// is not ready.
        Draining,
        /// Sessions end as soon as they are outside a transaction.
        EndingSessions,
        /// Transactions that are still open are rolled back once they are idle.
        ClosingTransactions,
        /// No request runs any more: those that still did are answered, and so are those that arrive.
        AnsweringRequests,
    }
}
