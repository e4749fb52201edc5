//! The ways in which a primary is lost.

use jujubehold_core::key_type;

key_type! {
    /// What happens to the primary in a run of the failover gap.
    pub enum GapKind {
        /// Its process dies: connections break.
        Crash,
        /// It stops answering, and its connections stay.
        Freeze,
        /// It dies while the platform's service is out.
        CrashInOutage,
        /// The operators order another primary.
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

    /// The name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Crash => "crash",
            Self::Freeze => "freeze",
            Self::CrashInOutage => "crash-in-outage",
            Self::Ordered => "ordered",
        }
    }
}
