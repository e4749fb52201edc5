//! The messages that a caller sends before it waits for an answer.

use std::rc::Rc;

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_core::statement_name::StatementName;
use jujubehold_pg::{
    Frame, bind_to, close_statement, combine, describe_statement, flush, parse, query, sync,
};
use smol_str::SmolStr;

use super::answer_plan::{AnswerPlan, Step};
use super::checked_out_connection::CheckedOutConnection;
use super::prepared_statement::PreparedStatement;

/// One simple query, or the messages of the extended protocol up to a Sync or Flush.
#[derive(Debug)]
pub(crate) struct MessageBatch {
    /// The class of its statements.
    pub(crate) class: StatementClass,
    /// Whether it has at most one statement, so that an error proves that nothing ran.
    pub(crate) is_single: bool,
    /// Whether it prepares more statements than the session may have.
    pub(crate) exceeds_limit: bool,
    /// Whether it ends with a Flush, so that the caller's pipeline continues.
    pub(crate) ends_with_flush: bool,
    /// When its last message was read.
    pub(crate) arrived_at: Monotonic,
    /// When the statement timeout expires.
    pub(crate) deadline: Monotonic,
    messages: Messages,
}

#[derive(Debug)]
enum Messages {
    Simple(Frame),
    Extended(Vec<ExtendedItem>),
}

/// A message of the extended protocol, with the caller's statement names resolved.
#[derive(Debug)]
pub(crate) enum ExtendedItem {
    Parse(Rc<PreparedStatement>),
    Bind {
        statement: StatementRef,
        portal: SmolStr,
        rest: bytes::Bytes,
    },
    DescribeStatement(StatementRef),
    DescribePortal(Frame),
    Execute(Frame),
    CloseStatement,
    ClosePortal(Frame),
    Sync,
    Flush,
}

/// A prepared statement, or the name of one that the caller never prepared.
#[derive(Debug)]
pub(crate) enum StatementRef {
    Known(Rc<PreparedStatement>),
    Unknown(SmolStr),
}

impl MessageBatch {
    /// Creates a batch of one simple query.
    pub(crate) fn simple(frame: Frame, class: StatementClass, is_single: bool) -> Self {
        Self {
            class,
            is_single,
            exceeds_limit: false,
            ends_with_flush: false,
            arrived_at: Monotonic::ZERO,
            deadline: Monotonic::ZERO,
            messages: Messages::Simple(frame),
        }
    }

    /// Creates a batch of messages that end with a Sync or Flush.
    pub(crate) fn extended(items: Vec<ExtendedItem>) -> Self {
        let classes: Vec<_> = items.iter().filter_map(ExtendedItem::run_class).collect();
        let mut statements = items.iter().filter_map(ExtendedItem::statement);
        // An unsupported statement is refused when it is prepared.
        let is_unsupported =
            statements.any(|prepared| prepared.class == StatementClass::Unsupported);
        Self {
            is_single: classes.len() <= 1,
            class: if is_unsupported {
                StatementClass::Unsupported
            } else {
                combine(classes)
            },
            exceeds_limit: false,
            ends_with_flush: matches!(items.last(), Some(ExtendedItem::Flush)),
            arrived_at: Monotonic::ZERO,
            deadline: Monotonic::ZERO,
            messages: Messages::Extended(items),
        }
    }

    /// Returns whether any message is a command on the session's settings, which is not sent to an
    /// upstream.
    pub(crate) fn has_session_command(&self) -> bool {
        self.class == StatementClass::Session
            || self
                .items()
                .iter()
                .filter_map(ExtendedItem::statement)
                .any(|prepared| prepared.class == StatementClass::Session)
    }

    /// Writes a simple query whose text is preceded by `statements`, two statements that the
    /// proxy adds.
    pub(crate) fn write_after_statements(
        &self,
        statements: &str,
        out: &mut BytesMut,
    ) -> AnswerPlan {
        let text = self.text().unwrap_or_default();
        out.extend_from_slice(query(&format!("{statements};\n{text}")).bytes());
        AnswerPlan::new(vec![
            Step::ProxyStatement,
            Step::ProxyStatement,
            Step::Ready,
        ])
    }

    /// Returns the text of a simple query.
    pub(crate) fn text(&self) -> Option<&str> {
        match &self.messages {
            Messages::Simple(frame) => frame.first_text(),
            Messages::Extended(_) => None,
        }
    }

    /// Returns the messages of the extended protocol; none for a simple query.
    pub(crate) fn items(&self) -> &[ExtendedItem] {
        match &self.messages {
            Messages::Simple(_) => &[],
            Messages::Extended(items) => items,
        }
    }

    /// Writes the messages as `connection` needs them, and returns the plan of their answers.
    pub(crate) fn write_for(
        &self,
        connection: &mut CheckedOutConnection,
        out: &mut BytesMut,
    ) -> AnswerPlan {
        let items = match &self.messages {
            Messages::Simple(frame) => {
                out.extend_from_slice(frame.bytes());
                return AnswerPlan::new(vec![Step::Ready]);
            }
            Messages::Extended(items) => items,
        };
        let mut steps = Vec::with_capacity(items.len() + 1);
        for item in items {
            item.write_for(connection, out, &mut steps);
        }
        AnswerPlan::new(steps)
    }
}

impl ExtendedItem {
    fn run_class(&self) -> Option<StatementClass> {
        match self {
            Self::Bind {
                statement: StatementRef::Known(prepared),
                ..
            } => Some(prepared.class),
            _ => None,
        }
    }

    /// Returns the statement that the message refers to, if the caller prepared it.
    pub(crate) fn statement(&self) -> Option<&Rc<PreparedStatement>> {
        match self {
            Self::Parse(prepared)
            | Self::Bind {
                statement: StatementRef::Known(prepared),
                ..
            }
            | Self::DescribeStatement(StatementRef::Known(prepared)) => Some(prepared),
            _ => None,
        }
    }

    fn write_for(
        &self,
        connection: &mut CheckedOutConnection,
        out: &mut BytesMut,
        steps: &mut Vec<Step>,
    ) {
        match self {
            Self::Parse(prepared) => {
                let name = prepared.name_under(connection.settings());
                if connection.prepared().contains(&name) {
                    steps.push(Step::SynthesizeParseComplete);
                } else {
                    prepare(prepared, &name, connection, out, steps);
                    steps.push(Step::Parse(name));
                }
            }
            Self::Bind {
                statement,
                portal,
                rest,
            } => {
                let name = statement.prepare_on(connection, out, steps);
                bind_to(out, portal, &name, rest);
                steps.push(statement.step(Step::Bind));
            }
            Self::DescribeStatement(statement) => {
                let name = statement.prepare_on(connection, out, steps);
                describe_statement(out, &name);
                steps.push(statement.step(Step::Describe));
            }
            Self::DescribePortal(frame) => {
                out.extend_from_slice(frame.bytes());
                steps.push(Step::Describe);
            }
            Self::Execute(frame) => {
                out.extend_from_slice(frame.bytes());
                steps.push(Step::Execute);
            }
            Self::CloseStatement => steps.push(Step::SynthesizeCloseComplete),
            Self::ClosePortal(frame) => {
                out.extend_from_slice(frame.bytes());
                steps.push(Step::Close);
            }
            Self::Sync => {
                sync(out);
                steps.push(Step::Ready);
            }
            Self::Flush => flush(out),
        }
    }
}

impl StatementRef {
    // Prepares the statement if the connection lacks it, and returns its name there.
    fn prepare_on(
        &self,
        connection: &mut CheckedOutConnection,
        out: &mut BytesMut,
        steps: &mut Vec<Step>,
    ) -> StatementName {
        match self {
            Self::Known(prepared) => {
                let name = prepared.name_under(connection.settings());
                if !connection.prepared().contains(&name) {
                    prepare(prepared, &name, connection, out, steps);
                    steps.push(Step::ProxyParse(name.clone()));
                }
                name
            }
            // The name of no statement, since a name of the caller's may be that of another
            // session's statement. The upstream's error is sent with the caller's name.
            Self::Unknown(_) => StatementName::new([]),
        }
    }

    // Returns the step for a message about the statement, which is `step` if it is known.
    fn step(&self, step: Step) -> Step {
        match self {
            Self::Known(_) => step,
            Self::Unknown(name) => Step::Unknown(name.clone()),
        }
    }
}

fn prepare(
    prepared: &PreparedStatement,
    name: &StatementName,
    connection: &mut CheckedOutConnection,
    out: &mut BytesMut,
    steps: &mut Vec<Step>,
) {
    if connection.may_have_unlisted_statements() {
        close_statement(out, name);
        steps.push(Step::ProxyCloseUnlisted);
    }
    if let Some(oldest) = connection.prepared().add(name.clone()) {
        close_statement(out, &oldest);
        steps.push(Step::ProxyClose(oldest));
    }
    parse(out, name, &prepared.text_and_types);
}
