//! The reasons for which the proxy refuses a request.

use crate::key_type;

key_type! {
    /// Why a request was refused before it reached an upstream connection.
    ///
    /// Each reason has its own counter; docs/OPERATIONS.md explains them.
    pub enum RefusalReason {
        /// No service has the name that the caller asked for.
        UnknownService,
        /// This host does not know the service or the caller, and may lack the newest configuration.
        DirectoryUnconfirmed,
        /// The caller failed to authenticate.
        AuthenticationFailed,
        /// The service's queue on this host is full.
        QueueFull,
        /// The request would have waited past its deadline.
        DeadlineTooShort,
        /// The caller has more waiting requests than its share.
        CallerOverShare,
        /// No primary is known, or its authority can't be proved.
        NoPrimary,
        /// No reachable instance has data that is recent enough for the read.
        NoFreshReplica,
        /// A failover removed the session's last write from the group's history.
        FloorLost,
        /// The session token was forged, damaged or made for another service.
        TokenInvalid,
        /// No upstream connection could be opened.
        UpstreamUnreachable,
        /// The upstream or its service is in the leaving state.
        Leaving,
        /// The host is shutting down.
        ShuttingDown,
        /// No replica can confirm the write.
        NoConfirmingReplica,
        /// The statement needs session state that a connection pool can't preserve.
        UnsupportedSessionState,
        /// The message is malformed, too large or out of sequence.
        ProtocolViolation,
        /// The host that owns the upstream could not be reached.
        OwnerUnreachable,
        /// The service's retry budget is used up.
        RetryBudgetSpent,
        /// A different request already ran under the name that the caller gave to this one.
        RequestNameReused,
        /// The customer has used up its quota.
        QuotaExceeded,
        /// No host that could grant the customer's quota answered.
        QuotaUnknown,
        /// The instance rejected a command that sets the session up on its connection.
        SessionSetupRefused,
        /// The sessions of the host keep as many bytes as they may.
        SessionMemoryFull,
    }
}

impl RefusalReason {
    /// All reasons, in the order of the metrics page.
    pub const ALL: [Self; 23] = [
        Self::UnknownService,
        Self::DirectoryUnconfirmed,
        Self::AuthenticationFailed,
        Self::QueueFull,
        Self::DeadlineTooShort,
        Self::CallerOverShare,
        Self::NoPrimary,
        Self::NoFreshReplica,
        Self::FloorLost,
        Self::TokenInvalid,
        Self::UpstreamUnreachable,
        Self::Leaving,
        Self::ShuttingDown,
        Self::NoConfirmingReplica,
        Self::UnsupportedSessionState,
        Self::ProtocolViolation,
        Self::OwnerUnreachable,
        Self::RetryBudgetSpent,
        Self::RequestNameReused,
        Self::QuotaExceeded,
        Self::QuotaUnknown,
        Self::SessionSetupRefused,
        Self::SessionMemoryFull,
    ];

    /// Returns the stable name used in metrics, in logs and between hosts.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::UnknownService => "unknown_service",
            Self::DirectoryUnconfirmed => "directory_unconfirmed",
            Self::AuthenticationFailed => "authentication_failed",
            Self::QueueFull => "queue_full",
            Self::DeadlineTooShort => "deadline_too_short",
            Self::CallerOverShare => "caller_over_share",
            Self::NoPrimary => "no_primary",
            Self::NoFreshReplica => "no_fresh_replica",
            Self::FloorLost => "floor_lost",
            Self::TokenInvalid => "token_invalid",
            Self::UpstreamUnreachable => "upstream_unreachable",
            Self::Leaving => "leaving",
            Self::ShuttingDown => "shutting_down",
            Self::NoConfirmingReplica => "no_confirming_replica",
            Self::UnsupportedSessionState => "unsupported_session_state",
            Self::ProtocolViolation => "protocol_violation",
            Self::OwnerUnreachable => "owner_unreachable",
            Self::RetryBudgetSpent => "retry_budget_spent",
            Self::RequestNameReused => "request_name_reused",
            Self::QuotaExceeded => "quota_exceeded",
            Self::QuotaUnknown => "quota_unknown",
            Self::SessionSetupRefused => "session_setup_refused",
            Self::SessionMemoryFull => "session_memory_full",
        }
    }

    /// Returns the reason with the stable name `name`.
    pub fn from_name(name: &str) -> Option<Self> {
        Self::ALL.into_iter().find(|reason| reason.as_str() == name)
    }

    /// Returns the SQLSTATE that the caller receives, one of PostgreSQL's error codes.
    pub fn sqlstate(self) -> &'static str {
        match self {
            Self::UnknownService => "3D000",
            Self::AuthenticationFailed => "28P01",
            Self::QueueFull
            | Self::DeadlineTooShort
            | Self::CallerOverShare
            | Self::RetryBudgetSpent
            | Self::QuotaExceeded => "53300",
            Self::DirectoryUnconfirmed
            | Self::NoPrimary
            | Self::NoFreshReplica
            | Self::UpstreamUnreachable
            | Self::Leaving
            | Self::NoConfirmingReplica
            | Self::OwnerUnreachable
            | Self::QuotaUnknown
            | Self::SessionSetupRefused => "57P03",
            Self::SessionMemoryFull => "53200",
            Self::FloorLost => "40001",
            Self::TokenInvalid | Self::RequestNameReused => "22023",
            Self::ShuttingDown => "57P01",
            Self::UnsupportedSessionState => "0A000",
            Self::ProtocolViolation => "08P01",
        }
    }

    /// Returns whether the same request can succeed later without a change by the caller.
    pub fn is_transient(self) -> bool {
        match self {
            Self::DirectoryUnconfirmed
            | Self::QueueFull
            | Self::DeadlineTooShort
            | Self::CallerOverShare
            | Self::NoPrimary
            | Self::NoFreshReplica
            | Self::UpstreamUnreachable
            | Self::Leaving
            | Self::ShuttingDown
            | Self::NoConfirmingReplica
            | Self::OwnerUnreachable
            | Self::RetryBudgetSpent
            | Self::QuotaExceeded
            | Self::QuotaUnknown
            | Self::SessionSetupRefused
            | Self::SessionMemoryFull => true,
            Self::UnknownService
            | Self::AuthenticationFailed
            | Self::FloorLost
            | Self::TokenInvalid
            | Self::UnsupportedSessionState
            | Self::ProtocolViolation
            | Self::RequestNameReused => false,
        }
    }
}
