//! What a caller is told of a request that did not succeed.

use smol_str::{SmolStr, format_smolstr};

use crate::prelude::*;
use crate::protocol::ErrorCode;
use crate::shared::millis;

/// How a request ended without success.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Failure {
    /// It did not run.
    Refused(Refusal),
    /// Whether it ran is not known.
    Unknown(UnknownReason),
    /// Its transaction was rolled back, and nothing of it is kept.
    RolledBack(SmolStr),
    /// The upstream's own answer, or one of the host's by the same codes.
    Told { code: ErrorCode, detail: SmolStr },
}

impl Failure {
    pub(crate) fn told(code: ErrorCode, detail: &str) -> Self {
        Self::Told {
            code,
            detail: detail.into(),
        }
    }

    /// Whether the instance lacked the position that was asked for.
    pub(crate) fn is_behind(&self) -> bool {
        matches!(
            self,
            Self::Told {
                code: ErrorCode::Behind,
                ..
            }
        )
    }

    /// Whether the instance was too busy to run it.
    pub(crate) fn is_busy(&self) -> bool {
        matches!(
            self,
            Self::Told {
                code: ErrorCode::Busy,
                ..
            }
        )
    }

    /// The code and the words that the caller gets.
    ///
    /// A refusal says that nothing ran and when to come back.
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
            Self::Told { code, detail } => (*code, detail.clone()),
        }
    }

    /// The stable name used in metrics and logs.
    pub(crate) fn reason(&self) -> SmolStr {
        match self {
            Self::Refused(refusal) => refusal.reason.as_str().into(),
            Self::Unknown(reason) => reason.as_str().into(),
            Self::RolledBack(detail) => detail.clone(),
            Self::Told { code, .. } => code.as_str().into(),
        }
    }
}

impl From<Refusal> for Failure {
    fn from(refusal: Refusal) -> Self {
        Self::Refused(refusal)
    }
}
