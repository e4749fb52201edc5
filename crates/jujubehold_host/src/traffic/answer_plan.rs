//! Matches an upstream's messages to the caller's messages that they answer.

use std::collections::{BTreeMap, VecDeque};

use bytes::BytesMut;
use jujubehold_core::statement_name::StatementName;
use jujubehold_pg::{Frame, backend, close_complete, parse_complete};
use smol_str::SmolStr;

use super::answer::sqlstate;
use super::caller_error::{
    DUPLICATE_STATEMENT_SQLSTATE, UNKNOWN_STATEMENT_SQLSTATE, unknown_statement_error,
};
use crate::pool::PreparedNames;

/// A message whose answer is outstanding.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum Step {
    /// The caller's Parse of the statement with this upstream name.
    Parse(StatementName),
    /// A Parse that the proxy added.
    ProxyParse(StatementName),
    /// A Close that the proxy added to make room for another statement.
    ProxyClose(StatementName),
    /// A Close that the proxy added in case another host has prepared the statement.
    ProxyCloseUnlisted,
    /// The caller's Parse of a statement that is already prepared on the connection.
    SynthesizeParseComplete,
    /// The caller's Close of a statement, which stays prepared on the connection.
    SynthesizeCloseComplete,
    /// A Bind.
    Bind,
    /// A Describe.
    Describe,
    /// A Bind or Describe of a statement that the caller, who names it so, never prepared.
    Unknown(SmolStr),
    /// An Execute.
    Execute,
    /// A Close of a portal.
    Close,
    /// A statement that the proxy added before the caller's in the same simple query.
    ProxyStatement,
    /// A Sync or a simple query.
    Ready,
}

/// What to do with a message of the upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum FrameAction {
    /// Forward it to the caller.
    Forward,
    /// Forward this error, which names a statement as the caller does.
    ForwardInstead(Frame),
    /// Discard it, because it answers a message that the proxy added.
    Discard,
    /// It rejects a statement that the proxy added; the caller's did not run.
    ProxyStatementFailed,
    /// It is a `ReadyForQuery` with this transaction status.
    Ready(u8),
    /// It answers no outstanding message: the connection is out of sync.
    Unexpected,
}

/// The outstanding answers, in their order.
#[derive(Debug)]
pub(crate) struct AnswerPlan {
    steps: VecDeque<Step>,
    // The statements whose preparation or Close was skipped, and whether they are prepared.
    skipped: BTreeMap<StatementName, bool>,
    skipped_definitions: usize,
    has_wrong_names: bool,
}

impl AnswerPlan {
    /// Creates a plan of these steps.
    pub(crate) fn new(steps: Vec<Step>) -> Self {
        Self {
            steps: steps.into(),
            skipped: BTreeMap::new(),
            skipped_definitions: 0,
            has_wrong_names: false,
        }
    }

    /// Writes the answers that the proxy synthesizes, up to the next one that the upstream sends.
    pub(crate) fn write_synthesized(&mut self, out: &mut BytesMut) {
        while let Some(step) = self.steps.front() {
            match step {
                Step::SynthesizeParseComplete => parse_complete(out),
                Step::SynthesizeCloseComplete => close_complete(out),
                _ => return,
            }
            self.steps.pop_front();
        }
    }

    /// Returns whether all answers have arrived.
    pub(crate) fn is_done(&self) -> bool {
        self.steps.is_empty()
    }

    /// Corrects the list of a connection's statements by what the upstream skipped.
    pub(crate) fn correct(&self, prepared: &mut PreparedNames) {
        if self.has_wrong_names {
            prepared.set_wrong();
        }
        for (name, is_prepared) in &self.skipped {
            if *is_prepared {
                prepared.restore(name.clone());
            } else {
                prepared.remove(name);
            }
        }
    }

    /// Returns how many of the caller's Parse and Close messages of statements were skipped.
    pub(crate) fn skipped_definitions(&self) -> usize {
        self.skipped_definitions
    }

    /// Advances the plan by the upstream's next message, and returns what to do with it.
    pub(crate) fn next_action(&mut self, frame: &Frame) -> FrameAction {
        match frame.tag() {
            backend::NOTICE_RESPONSE | backend::PARAMETER_STATUS => return FrameAction::Forward,
            backend::NOTIFICATION_RESPONSE => return FrameAction::Discard,
            backend::ERROR_RESPONSE => {
                let action = self.error_action(frame);
                self.skip_to_ready();
                return action;
            }
            _ => {}
        }
        let Some(step) = self.steps.front() else {
            return FrameAction::Unexpected;
        };
        let (is_last, action) = match (step, frame.tag()) {
            (Step::Parse(_), backend::PARSE_COMPLETE)
            | (Step::Bind, backend::BIND_COMPLETE)
            | (Step::Close, backend::CLOSE_COMPLETE)
            | (Step::Describe, backend::ROW_DESCRIPTION | backend::NO_DATA)
            | (
                Step::Execute,
                backend::COMMAND_COMPLETE
                | backend::EMPTY_QUERY_RESPONSE
                | backend::PORTAL_SUSPENDED,
            ) => (true, FrameAction::Forward),
            (Step::ProxyParse(_), backend::PARSE_COMPLETE)
            | (Step::ProxyClose(_) | Step::ProxyCloseUnlisted, backend::CLOSE_COMPLETE)
            | (Step::ProxyStatement, backend::COMMAND_COMPLETE) => (true, FrameAction::Discard),
            (Step::Ready, backend::READY_FOR_QUERY) => {
                let status = frame.body().first().copied().unwrap_or(b'E');
                (true, FrameAction::Ready(status))
            }
            (Step::Describe, backend::PARAMETER_DESCRIPTION)
            | (Step::Execute, backend::DATA_ROW)
            | (
                Step::Ready,
                backend::ROW_DESCRIPTION
                | backend::DATA_ROW
                | backend::COMMAND_COMPLETE
                | backend::EMPTY_QUERY_RESPONSE,
            ) => (false, FrameAction::Forward),
            _ => return FrameAction::Unexpected,
        };
        if is_last {
            self.steps.pop_front();
        }
        action
    }

    fn error_action(&mut self, frame: &Frame) -> FrameAction {
        let code = sqlstate(frame);
        match self.steps.front() {
            Some(Step::ProxyStatement) => FrameAction::ProxyStatementFailed,
            Some(Step::Unknown(name)) if code == UNKNOWN_STATEMENT_SQLSTATE => {
                FrameAction::ForwardInstead(unknown_statement_error(name))
            }
            _ => {
                self.has_wrong_names =
                    code == UNKNOWN_STATEMENT_SQLSTATE || code == DUPLICATE_STATEMENT_SQLSTATE;
                FrameAction::Forward
            }
        }
    }

    // After an error the upstream ignores everything up to the Sync. The first message about a
    // statement that it ignores tells whether the statement is prepared.
    fn skip_to_ready(&mut self) {
        while let Some(step) = self.steps.front() {
            let is_definition = matches!(
                step,
                Step::Parse(_) | Step::SynthesizeParseComplete | Step::SynthesizeCloseComplete
            );
            self.skipped_definitions += usize::from(is_definition);
            match step {
                Step::Ready => return,
                Step::Parse(name) | Step::ProxyParse(name) => {
                    self.skipped.entry(name.clone()).or_insert(false);
                }
                Step::ProxyClose(name) => {
                    self.skipped.entry(name.clone()).or_insert(true);
                }
                _ => {}
            }
            self.steps.pop_front();
        }
    }
}
