//! The kinds of sessions whose reads are counted.

use jujubehold_core::key_type;

key_type! {
    /// How a session continues after each of its writes.
    pub enum SessionKind {
        /// It stays on its connection.
        Stays,
        /// It moves to the next host and presents its token there.
        RoamsWithToken,
        /// It moves to the next host without a token.
        RoamsWithoutToken,
        /// It opens a new connection without a token for each read.
        Lookups,
        /// It stays on its connection while the platform's key-value service hangs.
        StaysInOutage,
    }
}

impl SessionKind {
    /// Every kind.
    pub const ALL: [Self; 5] = [
        Self::Stays,
        Self::RoamsWithToken,
        Self::RoamsWithoutToken,
        Self::Lookups,
        Self::StaysInOutage,
    ];

    /// Returns the name on the command line and in reports.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Stays => "stays",
            Self::RoamsWithToken => "token",
            Self::RoamsWithoutToken => "nothing",
            Self::Lookups => "lookups",
            Self::StaysInOutage => "outage",
        }
    }
}
