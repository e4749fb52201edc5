//! The phase of a host's drain, as the traffic threads see it.

/// Determines how the traffic threads treat callers while the host drains.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum DrainPhase {
    /// Callers are served as usual, also while the host announces to its peers that it leaves.
    #[default]
    Serving,
    /// No caller is accepted, and each session ends as soon as it is between transactions.
    Finishing,
    /// No request runs any more: those that still did are answered, and open transactions are rolled
    /// back.
    Answering,
}
