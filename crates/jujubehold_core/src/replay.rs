//! Replay of recorded events against the outcomes that they must have.
//!
//! A trace is a text of one event a line, in the order in which one host handled them. The lines
//! that start with `expect` state the outcomes of the event before them; all outcomes but probes
//! and shared doubts must be stated. Since the core reads no clock and draws no random number, the
//! same events have the same outcomes in every run. docs/notes/replay.md lists the lines.
//!
//! ```
//! let trace = "\
//! group shares a@delta b@gulf c@piedmont
//! at_ms=5 rerun w1 progress=sent lookup=found has_request_id=yes
//! expect w1 already_ran
//! ";
//! let replay = jujubehold_core::replay::replay(trace).expect("the trace is well formed");
//! assert!(replay.matches_expectations());
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

/// The error for a trace that can't be parsed.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
#[error("line {number}: {kind}")]
pub struct TraceError {
    /// The number of the line, counted from 1.
    pub number: usize,
    /// What is wrong with the line.
    pub kind: TraceErrorKind,
}

/// What is wrong with a line of a trace.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub enum TraceErrorKind {
    /// The event's name is unknown.
    #[error("unknown event `{0}`")]
    UnknownEvent(String),
    /// A word or a `key=value` pair is missing.
    #[error("missing {0}")]
    Missing(String),
    /// A word or the value of a pair is malformed.
    #[error("malformed value `{0}`")]
    Malformed(String),
    /// An event that needs a group comes before the `group` line.
    #[error("no group is defined; the trace must start with a `group` line")]
    NoGroup,
}

value_type! {
    /// The result of a replay.
    #[derive(Default)]
    pub struct Replay {
        /// The events whose outcomes differ from the expected ones.
        pub mismatches: Vec<OutcomeMismatch>,
        /// The number of expected outcomes in the trace.
        pub expected_count: usize,
        /// The trace with the actual outcomes in place of the expected ones.
        pub filled_trace: String,
    }

    /// An event whose outcomes differ from the expected ones.
    pub struct OutcomeMismatch {
        /// The number of the event's line, counted from 1.
        pub number: usize,
        /// The expected outcomes.
        pub expected: Vec<String>,
        /// The actual outcomes.
        pub actual: Vec<String>,
    }
}

impl Replay {
    /// Returns whether all outcomes are as expected.
    pub fn matches_expectations(&self) -> bool {
        self.mismatches.is_empty()
    }
}

/// Replays a trace and compares the outcomes with the expected ones.
///
/// # Errors
/// Returns the number of the first line that can't be parsed, and what is wrong with it.
pub fn replay(trace: &str) -> Result<Replay, TraceError> {
    let mut runner = Runner::default();
    let mut replay = Replay::default();
    let mut pending: Option<(usize, Vec<String>)> = None;
    let mut expected = Vec::new();
    for (index, text) in trace.lines().enumerate() {
        let number = index + 1;
        if let Some(outcome) = text.strip_prefix("expect ") {
            expected.push(outcome.trim().to_owned());
            continue;
        }
        let is_event = !text.trim().is_empty() && !text.starts_with('#');
        if is_event {
            replay.compare_outcomes(pending.take(), std::mem::take(&mut expected));
        }
        replay.filled_trace.push_str(text);
        replay.filled_trace.push('\n');
        if is_event {
            let outcomes = TraceLine::parse(text)
                .and_then(|line| runner.run(&line))
                .map_err(|kind| TraceError { number, kind })?;
            for outcome in &outcomes {
                replay.filled_trace.push_str("expect ");
                replay.filled_trace.push_str(outcome);
                replay.filled_trace.push('\n');
            }
            pending = Some((number, outcomes));
        }
    }
    replay.compare_outcomes(pending, expected);
    Ok(replay)
}

impl Replay {
    fn compare_outcomes(&mut self, pending: Option<(usize, Vec<String>)>, expected: Vec<String>) {
        self.expected_count += expected.len();
        let (number, actual) = pending.unwrap_or_default();
        if actual != expected {
            self.mismatches.push(OutcomeMismatch {
                number,
                expected,
                actual,
            });
        }
    }
}
