//! Why an upstream connection could not be opened.

use jujubehold_pg::{Frame, FrameError};
use smol_str::SmolStr;
use thiserror::Error;

/// What an upstream answers that has as many connections as it takes.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Why an upstream connection could not be opened.
///
/// A refusal is a sign of life, where a broken connection is none; see docs/notes/failover.md.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The connection failed, or what came over it could not be read.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The upstream refused the session.
    #[error("the upstream refused the session: {sqlstate} {message}")]
    Refused {
        /// The SQLSTATE.
        sqlstate: SmolStr,
        /// The upstream's message.
        message: String,
    },
}

impl OpenError {
    /// The refusal that an error message states.
    pub(super) fn refused(error: &Frame) -> Self {
        Self::Refused {
            sqlstate: error.error_field(b'C').unwrap_or_default().into(),
            message: error.error_field(b'M').unwrap_or_default().to_owned(),
        }
    }

    /// Whether the upstream has as many connections as it takes.
    pub fn is_full(&self) -> bool {
        match self {
            Self::Frame(_) => false,
            Self::Refused { sqlstate, .. } => sqlstate == TOO_MANY_CONNECTIONS,
        }
    }
}
