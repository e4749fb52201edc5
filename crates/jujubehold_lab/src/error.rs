//! Errors that prevent a run.

use thiserror::Error;

/// An error that prevents a run, as opposed to a broken guarantee that a run reports.
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
    /// An expected event did not happen in time.
    #[error("timed out waiting for {0}")]
    TimedOut(&'static str),
    /// A caller's request failed although the run needs its answer.
    #[error("a caller's request failed: {0}")]
    Caller(#[from] tokio_postgres::Error),
    /// A connection of the load failed.
    #[error("a connection failed: {0}")]
    Frame(#[from] jujubehold_pg::FrameError),
    /// A report could not be written.
    #[error("a report could not be written: {0}")]
    Report(#[from] std::io::Error),
}
