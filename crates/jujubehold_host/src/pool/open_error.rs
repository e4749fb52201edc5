//! Errors of opening an upstream connection.

use jujubehold_pg::{Frame, FrameError};
use smol_str::SmolStr;
use thiserror::Error;

/// The error code of an upstream that has reached its connection limit.
const TOO_MANY_CONNECTIONS: &str = "53300";

/// Why an upstream connection could not be opened.
///
/// A refusal proves that the upstream is alive, whereas a broken connection does not; see
/// docs/notes/failover.md.
#[derive(Debug, Error)]
pub enum OpenError {
    /// The connection failed, or a message on it could not be read.
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
    /// Creates the refusal from the upstream's error message.
    pub(super) fn refused(error: &Frame) -> Self {
        Self::Refused {
            sqlstate: error.error_field(b'C').unwrap_or_default().into(),
            message: error.error_field(b'M').unwrap_or_default().to_owned(),
        }
    }

    /// Returns whether the upstream has reached its connection limit.
    pub fn is_full(&self) -> bool {
        match self {
            Self::Frame(_) => false,
            Self::Refused { sqlstate, .. } => sqlstate == TOO_MANY_CONNECTIONS,
        }
    }
}
