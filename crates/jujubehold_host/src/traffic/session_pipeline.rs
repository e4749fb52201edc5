//! Collects messages of the extended protocol until the caller waits for an answer.

use std::rc::Rc;

use jujubehold_pg::{ExtendedMessage, Frame, FrameError};
use smol_str::SmolStr;

use super::message_batch::{ExtendedItem, MessageBatch, StatementRef};
use super::prepared_statement::PreparedStatement;
use super::session::{Session, classify};

/// The most messages of the extended protocol before a Sync or Flush.
const MAX_PIPELINE_MESSAGES: usize = 16_384;
/// The most bytes of messages before a Sync or Flush.
const MAX_PIPELINE_BYTES: usize = 64 * 1024 * 1024;
/// The most statements that a caller may have prepared at a time.
const MAX_PREPARED_STATEMENTS: usize = 4096;

impl Session {
    /// Adds a message to the pipeline, and runs the pipeline if the message is a Sync or Flush.
    pub(crate) async fn add_to_pipeline(
        &mut self,
        message: ExtendedMessage,
        frame: Frame,
    ) -> Result<(), FrameError> {
        self.pipeline_bytes += frame.bytes().len();
        let item = match message {
            ExtendedMessage::Parse {
                name,
                text_and_types,
                text_bytes,
            } => {
                let text = std::str::from_utf8(&text_and_types[..text_bytes]).unwrap_or_default();
                let class = classify(text);
                let prepared = Rc::new(PreparedStatement::new(text_and_types, text_bytes, class));
                let replaced = self.statements.insert(name.clone(), prepared.clone());
                self.replaced.push((name, replaced));
                ExtendedItem::Parse(prepared)
            }
            ExtendedMessage::Bind {
                portal,
                statement,
                rest,
            } => ExtendedItem::Bind {
                statement: self.statement(statement),
                portal,
                rest,
            },
            ExtendedMessage::DescribeStatement(name) => {
                ExtendedItem::DescribeStatement(self.statement(name))
            }
            ExtendedMessage::DescribePortal => ExtendedItem::DescribePortal(frame),
            ExtendedMessage::Execute { .. } => ExtendedItem::Execute(frame),
            ExtendedMessage::CloseStatement(name) => {
                let replaced = self.statements.remove(&name);
                self.replaced.push((name, replaced));
                ExtendedItem::CloseStatement
            }
            ExtendedMessage::ClosePortal => ExtendedItem::ClosePortal(frame),
            ExtendedMessage::Sync => ExtendedItem::Sync,
            ExtendedMessage::Flush => ExtendedItem::Flush,
        };
        let is_end = matches!(item, ExtendedItem::Sync | ExtendedItem::Flush);
        self.pipeline.push(item);
        if self.pipeline.len() > MAX_PIPELINE_MESSAGES
            || self.pipeline_bytes > MAX_PIPELINE_BYTES
            || self.statements.len() > MAX_PREPARED_STATEMENTS
        {
            return Err(FrameError::Malformed(
                "the pipeline or the number of prepared statements exceeds its limit".to_owned(),
            ));
        }
        if !is_end {
            return Ok(());
        }
        self.pipeline_bytes = 0;
        let items = std::mem::take(&mut self.pipeline);
        let result = self.run_batch(MessageBatch::extended(items)).await;
        self.restore_names();
        result
    }

    // Restores the names that messages would have changed which were skipped after an error.
    fn restore_names(&mut self) {
        let replaced = std::mem::take(&mut self.replaced);
        for (name, statement) in replaced.into_iter().rev().take(self.io.skipped_definitions) {
            match statement {
                Some(statement) => drop(self.statements.insert(name, statement)),
                None => drop(self.statements.remove(&name)),
            }
        }
    }

    fn statement(&self, name: SmolStr) -> StatementRef {
        match self.statements.get(&name) {
            Some(prepared) => StatementRef::Known(prepared.clone()),
            None => StatementRef::Unknown(name),
        }
    }
}
