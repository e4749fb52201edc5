//! What an answer that is not a success says.

jujubehold_core::key_type! {
    /// The meaning of an error, as callers and upstreams both use it.
    pub enum ErrorCode {
        /// Too much work is ahead; nothing ran and nothing is kept.
        Busy,
        /// The transaction was rolled back; nothing is kept.
        RolledBack,
        /// The instance lacks the position that was asked for; nothing ran.
        Behind,
        /// The instance does not lead; nothing ran.
        ReadOnly,
        /// The connection reached another instance than it meant.
        WrongInstance,
        /// The instance has no connection left.
        ConnectionLimit,
        /// The statement ran and failed.
        Failed,
        /// No statement has been prepared under this name; nothing ran.
        UnknownStatement,
        /// The time for the statement is over; whether it ran is not known.
        TimedOut,
        /// No database has this name.
        UnknownDatabase,
        /// The message is too large.
        TooLarge,
        /// The message can't be read, or is out of turn.
        Malformed,
        /// Whether the write took effect is not known.
        Unknown,
        /// Another error of an upstream.
        Other,
    }
}

impl ErrorCode {
    /// Whether the code says that the statement did not run, so that it may be sent again.
    pub fn is_not_run(self) -> bool {
        match self {
            Self::Busy
            | Self::Behind
            | Self::ReadOnly
            | Self::WrongInstance
            | Self::ConnectionLimit
            | Self::UnknownStatement => true,
            Self::RolledBack
            | Self::Failed
            | Self::TimedOut
            | Self::UnknownDatabase
            | Self::TooLarge
            | Self::Malformed
            | Self::Unknown
            | Self::Other => false,
        }
    }

    /// The stable name used in metrics and logs.
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
            Self::UnknownDatabase => "unknown_database",
            Self::TooLarge => "too_large",
            Self::Malformed => "malformed",
            Self::Unknown => "unknown",
            Self::Other => "other",
        }
    }
}
