//! The sessions whose reads are counted.

use jujubehold_core::key_type;

key_type! {
    /// How a session goes on after each of its writes.
    pub enum SessionKind {
        /// It stays on its connection.
        Stays,
        /// It goes on at the next host, and carries its token there.
        RoamsWithToken,
        /// It goes on at the next host, and carries nothing.
        RoamsWithNothing,
        /// Each of its reads has a connection of its own, which carries nothing.
        Lookups,
        /// It stays, and the platform's service hangs.
        StaysInOutage,
    }
}

impl SessionKind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Stays,
        Self::RoamsWithToken,
        Self::RoamsWithNothing,
        Self::Lookups,
        Self::StaysInOutage,
    ];

    /// The name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stays => "stays",
            Self::RoamsWithToken => "token",
            Self::RoamsWithNothing => "nothing",
            Self::Lookups => "lookups",
            Self::StaysInOutage => "outage",
        }
    }
}
