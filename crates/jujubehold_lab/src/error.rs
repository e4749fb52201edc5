//! Why a run could not be done.

use thiserror::Error;

/// A fault of a run, as opposed to a promise that did not hold.
#[derive(Debug, Error)]
pub enum LabError {
    /// A part of the run could not be started.
    #[error("{part} could not be started: {detail}")]
    Start {
        /// The part.
        part: &'static str,
        /// What went wrong.
        detail: String,
    },
    /// Something did not come about in time.
    #[error("{0} did not come about in time")]
    TimedOut(&'static str),
    /// A caller's request failed where the run needs an answer.
    #[error("a caller's request failed: {0}")]
    Caller(#[from] tokio_postgres::Error),
    /// A connection of the load failed.
    #[error("a connection failed: {0}")]
    Frame(#[from] jujubehold_pg::FrameError),
    /// A report could not be written.
    #[error("a report could not be written: {0}")]
    Report(#[from] std::io::Error),
}
