//! How far a host's leaving has come, as traffic sees it.

/// What traffic does differently while the host leaves.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub enum DrainPhase {
    /// Nothing; also while the others are being told.
    #[default]
    Serving,
    /// No caller is accepted, and a session ends as soon as it is between transactions.
    Finishing,
}
