//! The failures of requests and how they are reported to callers.

use smol_str::{SmolStr, format_smolstr};

use crate::prelude::*;
use crate::protocol::ErrorCode;
use crate::shared::millis;

/// How a request failed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Failure {
    /// The request did not run.
    Refused(Refusal),
    /// Whether the request ran is not known.
    Unknown(UnknownReason),
    /// The transaction was rolled back; nothing of it is kept.
    RolledBack(SmolStr),
    /// An error that the upstream returned, or one of this host with the same codes.
    Error { code: ErrorCode, detail: SmolStr },
}

impl Failure {
    pub(crate) fn error(code: ErrorCode, detail: &str) -> Self {
        Self::Error {
            code,
            detail: detail.into(),
        }
    }

    /// Returns whether the instance had not reached the required position.
    pub(crate) fn is_behind(&self) -> bool {
        matches!(
            self,
            Self::Error {
                code: ErrorCode::Behind,
                ..
            }
        )
    }

    /// Returns whether the instance was too busy to run the request.
    pub(crate) fn is_busy(&self) -> bool {
        matches!(
            self,
            Self::Error {
                code: ErrorCode::Busy,
                ..
            }
        )
    }

    /// Returns the code and the detail that the caller receives.
    ///
    /// A refusal means that nothing ran, and states when to retry.
    pub(crate) fn answer(&self) -> (ErrorCode, SmolStr) {
        match self {
            Self::Refused(refusal) => {
                let code = match refusal.reason {
                    RefusalReason::UnknownService => ErrorCode::UnknownDatabase,
                    _ => ErrorCode::Busy,
                };
                let reason = refusal.reason.as_str();
                let detail = match refusal.retry_after {
                    Some(retry_after) => {
                        format_smolstr!("{reason} retry_after_ms={}", millis(retry_after))
                    }
                    None => reason.into(),
                };
                (code, detail)
            }
            Self::Unknown(UnknownReason::TimedOut) => (ErrorCode::TimedOut, "timed_out".into()),
            Self::Unknown(reason) => (ErrorCode::Unknown, reason.as_str().into()),
            Self::RolledBack(detail) => (ErrorCode::RolledBack, detail.clone()),
            Self::Error { code, detail } => (*code, detail.clone()),
        }
    }

    /// Returns the stable name used in metrics and logs.
    pub(crate) fn reason(&self) -> SmolStr {
        match self {
            Self::Refused(refusal) => refusal.reason.as_str().into(),
            Self::Unknown(reason) => reason.as_str().into(),
            Self::RolledBack(detail) => detail.clone(),
            Self::Error { code, .. } => code.as_str().into(),
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
