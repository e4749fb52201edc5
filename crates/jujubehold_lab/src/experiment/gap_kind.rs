//! The ways in which a primary is lost.

use jujubehold_core::key_type;

key_type! {
    /// How the primary is lost in a run of the failover-gap experiment.
    pub enum GapKind {
        /// Its process dies and its connections break.
        Crash,
        /// It stops answering, but its connections stay open.
        Freeze,
        /// It dies during an outage of the platform's key-value service.
        CrashInOutage,
        /// The operators submit a configuration that prefers another primary.
        Ordered,
    }
}

impl GapKind {
    /// Every kind.
    pub const ALL: [Self; 4] = [
        Self::Crash,
        Self::Freeze,
        Self::CrashInOutage,
        Self::Ordered,
    ];

    /// Returns the name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::Freeze => "freeze",
            Self::CrashInOutage => "crash-in-outage",
            Self::Ordered => "ordered",
        }
    }
}
