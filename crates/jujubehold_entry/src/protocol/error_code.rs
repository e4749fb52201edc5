//! The error codes of callers' and upstreams' protocols.

jujubehold_core::key_type! {
    /// The meaning of an error, the same towards callers and from upstreams.
    pub enum ErrorCode {
        /// The queue is too long; nothing ran and nothing is kept.
        Busy,
        /// The transaction was rolled back; nothing is kept.
        RolledBack,
        /// The instance has not reached the requested log position; nothing ran.
        Behind,
        /// The instance is not the primary; nothing ran.
        ReadOnly,
        /// The connection reached another instance than intended.
        WrongInstance,
        /// The instance accepts no more connections.
        ConnectionLimit,
        /// The statement ran and failed.
        Failed,
        /// No statement is prepared under this name; nothing ran.
        UnknownStatement,
        /// The statement timed out; whether it ran is not known.
        TimedOut,
        /// No customer has the key that the caller sent.
        AuthenticationFailed,
        /// No database has this name.
        UnknownDatabase,
        /// The message is too large.
        TooLarge,
        /// The message is invalid or out of order.
        Malformed,
        /// Whether the write took effect is not known.
        Unknown,
        /// The upstream returned another error.
        Other,
    }
}

impl ErrorCode {
    /// All codes.
    pub const ALL: [Self; 15] = [
        Self::Busy,
        Self::RolledBack,
        Self::Behind,
        Self::ReadOnly,
        Self::WrongInstance,
        Self::ConnectionLimit,
        Self::Failed,
        Self::UnknownStatement,
        Self::TimedOut,
        Self::AuthenticationFailed,
        Self::UnknownDatabase,
        Self::TooLarge,
        Self::Malformed,
        Self::Unknown,
        Self::Other,
    ];

    /// Returns the code with the stable name `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|code| code.as_str() == name)
    }

    /// Returns whether the code means that the statement did not run, so that it may be sent again.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Busy
            | Self::Behind
            | Self::ReadOnly
            | Self::WrongInstance
            | Self::ConnectionLimit
            | Self::UnknownStatement => true,
            Self::AuthenticationFailed
            | Self::RolledBack
            | Self::Failed
            | Self::TimedOut
            | Self::UnknownDatabase
            | Self::TooLarge
            | Self::Malformed
            | Self::Unknown
            | Self::Other => false,
        }
    }

    /// Returns the stable name used in metrics, in logs and between hosts.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Busy => "busy",
            Self::RolledBack => "rolled_back",
            Self::Behind => "behind",
            Self::ReadOnly => "read_only",
            Self::WrongInstance => "wrong_instance",
            Self::ConnectionLimit => "connection_limit",
            Self::Failed => "failed",
            Self::UnknownStatement => "unknown_statement",
            Self::TimedOut => "timed_out",
            Self::AuthenticationFailed => "authentication_failed",
            Self::UnknownDatabase => "unknown_database",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
            Self::Other => "other",
        }
    }
}
