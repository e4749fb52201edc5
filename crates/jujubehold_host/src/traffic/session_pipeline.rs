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
                let prepared = Rc::new(PreparedStatement::new(&text_and_types, text_bytes, class));
                let replaced = self.statements.replace(&name, Some(prepared.clone()));
                self.exceeds_limit |= self.statements.exceed_limit();
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
                let replaced = self.statements.replace(&name, None);
                self.replaced.push((name, replaced));
                ExtendedItem::CloseStatement
            }
            ExtendedMessage::ClosePortal => ExtendedItem::ClosePortal(frame),
            ExtendedMessage::Sync => ExtendedItem::Sync,
            ExtendedMessage::Flush => ExtendedItem::Flush,
        };
        let is_end = matches!(item, ExtendedItem::Sync | ExtendedItem::Flush);
        self.pipeline.push(item);
        if self.pipeline.len() > MAX_PIPELINE_MESSAGES || self.pipeline_bytes > MAX_PIPELINE_BYTES {
            return self.end_malformed("the pipeline exceeds its limit").await;
        }
        if !is_end {
            return Ok(());
        }
        self.pipeline_bytes = 0;
        let items = std::mem::take(&mut self.pipeline);
        let mut batch = MessageBatch::extended(items);
        batch.exceeds_limit = std::mem::take(&mut self.exceeds_limit);
        let result = self.run_batch(batch).await;
        self.restore_names();
        result
    }

    // Restores the names that messages would have changed which were skipped after an error.
    fn restore_names(&mut self) {
        let replaced = std::mem::take(&mut self.replaced);
        for (name, statement) in replaced.into_iter().rev().take(self.io.skipped_definitions) {
            self.statements.replace(&name, statement);
        }
    }

    fn statement(&self, name: SmolStr) -> StatementRef {
        match self.statements.get(&name) {
            Some(prepared) => StatementRef::Known(prepared.clone()),
            None => StatementRef::Unknown(name),
        }
    }
}
