//! What a connection to an instance is opened for.

use crate::key_type;

key_type! {
    /// Why a host opens a connection to an instance.
    ///
    /// Each purpose has its own counter; docs/OPERATIONS.md explains them.
    pub enum ConnectionPurpose {
        /// Callers' statements.
        Callers,
        /// The position of a primary, and whether it answers.
        Probe,
        /// The term of a primary that is recorded for the first time.
        Status,
        /// Evidence that a primary is not being replaced, while the store does not answer.
        Evidence,
        /// A change of primary.
        Promotion,
    }
}

impl ConnectionPurpose {
    /// All purposes, in the order of the metrics page.
    pub const ALL: [Self; 5] = [
        Self::Callers,
        Self::Probe,
        Self::Status,
        Self::Evidence,
        Self::Promotion,
    ];

    /// Returns the purpose's name in metrics.
    pub const fn as_str(self) -> &'static str {
        match self {
            Self::Callers => "callers",
            Self::Probe => "probe",
            Self::Status => "status",
            Self::Evidence => "evidence",
            Self::Promotion => "promotion",
        }
    }
}
