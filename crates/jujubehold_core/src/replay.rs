//! Recorded events and the outcomes that they must have.
//!
//! A trace is a text of one event a line, in the order in which one host took them in. The lines
//! that start with `expect` state what the event before them brought about; all of it but probes
//! must be stated. Since the core reads no clock and draws no random number, the same events bring
//! the same outcomes at every run. docs/notes/replay.md lists the lines.
//!
//! ```
//! let trace = "\
//! group shares a@delta b@gulf c@piedmont
//! at_ms=5 rerun w1 progress=sent lookup=found has_request_id=yes
//! expect w1 already_ran
//! ";
//! assert!(jujubehold_core::replay::replay(trace).expect("it is well formed").is_as_stated());
//! ```

mod failover_lines;
mod host_lines;
mod lease_lines;
mod line;
mod record;
mod request_lines;
mod runner;

use thiserror::Error;

use crate::value_type;

pub use record::{action_line, event_line, group_line, watchers_line};

use line::TraceLine;
use runner::Runner;

/// Why a trace can't be read.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {number}: {fault}")]
pub struct TraceError {
    /// The line's number, from 1 up.
    pub number: usize,
    /// What is wrong with it.
    pub fault: TraceFault,
}

/// What is wrong with a line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TraceFault {
    /// The line's verb is not known.
    #[error("there is no event called `{0}`")]
    UnknownEvent(String),
    /// A word or a pair is missing.
    #[error("`{0}` is missing")]
    Missing(String),
    /// A word or a pair can't be read.
    #[error("`{0}` can't be read")]
    Malformed(String),
    /// An event of a group comes before the group.
    #[error("there is no group yet; start with `group`")]
    NoGroup,
}

value_type! {
    /// What a run of a trace gave.
    #[derive(Default)]
    pub struct Replay {
        /// Where the outcomes differ from the stated ones.
        pub differences: Vec<Difference>,
        /// How many outcomes were stated.
        pub stated: usize,
        /// The trace with the outcomes that came in place of the stated ones.
        pub filled: String,
    }

    /// An event whose outcomes differ from the stated ones.
    pub struct Difference {
        /// The number of the event's line.
        pub number: usize,
        /// What was stated.
        pub stated: Vec<String>,
        /// What came.
        pub came: Vec<String>,
    }
}

impl Replay {
    /// Whether every outcome came as stated.
    pub fn is_as_stated(&self) -> bool {
        self.differences.is_empty()
    }
}

/// Runs a trace and compares the outcomes with the stated ones.
///
/// # Errors
/// Names the first line that can't be read.
pub fn replay(trace: &str) -> Result<Replay, TraceError> {
    let mut runner = Runner::default();
    let mut replay = Replay::default();
    let mut pending: Option<(usize, Vec<String>)> = None;
    let mut stated = Vec::new();
    for (index, text) in trace.lines().enumerate() {
        let number = index + 1;
        if let Some(outcome) = text.strip_prefix("expect ") {
            stated.push(outcome.trim().to_owned());
            continue;
        }
        let is_event = !text.trim().is_empty() && !text.starts_with('#');
        if is_event {
            replay.settle(pending.take(), std::mem::take(&mut stated));
        }
        replay.filled.push_str(text);
        replay.filled.push('\n');
        if is_event {
            let outcomes = TraceLine::parse(text)
                .and_then(|line| runner.run(&line))
                .map_err(|fault| TraceError { number, fault })?;
            for outcome in &outcomes {
                replay.filled.push_str("expect ");
                replay.filled.push_str(outcome);
                replay.filled.push('\n');
            }
            pending = Some((number, outcomes));
        }
    }
    replay.settle(pending, stated);
    Ok(replay)
}

impl Replay {
    fn settle(&mut self, pending: Option<(usize, Vec<String>)>, stated: Vec<String>) {
        self.stated += stated.len();
        let (number, came) = pending.unwrap_or_default();
        if came != stated {
            self.differences.push(Difference {
                number,
                stated,
                came,
            });
        }
    }
}
