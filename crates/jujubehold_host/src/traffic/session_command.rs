//! Answers commands on the session's settings without an upstream.

use std::rc::Rc;

use bytes::{BufMut, BytesMut};
use jujubehold_core::prelude::*;
use jujubehold_pg::{
    backend, close_complete, command_complete, parse_complete, ready_for_query, row_description,
    text_row,
};

use super::batch_error::{BatchError, refusal};
use super::message_batch::{ExtendedItem, MessageBatch, StatementRef};
use super::prepared_statement::PreparedStatement;
use super::session::Session;
use super::session_settings::{CommandReply, REQUEST_SETTING, SESSION_SETTING};

impl Session {
    /// Answers a batch that consists of session commands only.
    pub(crate) async fn run_session_batch(
        &mut self,
        batch: &MessageBatch,
    ) -> Result<(), BatchError> {
        let mut bound = None;
        if let Some(text) = batch.text() {
            let reply = self.run_single_command(text)?;
            if let CommandReply::Shown { name, .. } = &reply {
                self.io.put(&row_description(&[name]));
            }
            self.put_reply(&reply);
        }
        for item in batch.items() {
            self.run_session_item(item, &mut bound)?;
        }
        if !batch.ends_with_flush {
            let status = self.pinned.as_ref().map_or(b'I', |pinned| pinned.status);
            self.io.put(&ready_for_query(status));
        }
        self.io.flush().await.map_err(BatchError::Caller)
    }

    fn run_session_item(
        &mut self,
        item: &ExtendedItem,
        bound: &mut Option<Rc<PreparedStatement>>,
    ) -> Result<(), BatchError> {
        match item {
            ExtendedItem::Parse(prepared) if prepared.class == StatementClass::Session => {
                parse_complete(&mut self.io.out);
            }
            ExtendedItem::Bind {
                statement: StatementRef::Known(prepared),
                ..
            } if prepared.class == StatementClass::Session => {
                *bound = Some(prepared.clone());
                put_empty(&mut self.io.out, backend::BIND_COMPLETE);
            }
            ExtendedItem::DescribeStatement(StatementRef::Known(prepared))
                if prepared.class == StatementClass::Session =>
            {
                self.io.out.put_u8(backend::PARAMETER_DESCRIPTION);
                self.io.out.put_u32(6);
                self.io.out.put_u16(0);
                self.put_description(prepared);
            }
            ExtendedItem::DescribePortal(_) => {
                let prepared = bound.clone().ok_or(RefusalReason::ProtocolViolation)?;
                self.put_description(&prepared);
            }
            ExtendedItem::Execute(_) => {
                let prepared = bound.clone().ok_or(RefusalReason::ProtocolViolation)?;
                let reply = self.run_single_command(prepared.text())?;
                self.put_reply(&reply);
            }
            ExtendedItem::CloseStatement | ExtendedItem::ClosePortal(_) => {
                close_complete(&mut self.io.out);
            }
            ExtendedItem::Sync | ExtendedItem::Flush => {}
            ExtendedItem::Parse(_)
            | ExtendedItem::Bind { .. }
            | ExtendedItem::DescribeStatement(_) => {
                return Err(RefusalReason::UnsupportedSessionState.into());
            }
        }
        Ok(())
    }

    fn run_single_command(&mut self, text: &str) -> Result<CommandReply, BatchError> {
        self.run_command(text)
            .map_err(|refused| BatchError::Hinted {
                refusal: refusal(refused.reason),
                hint: refused.hint,
            })
    }

    fn put_description(&mut self, prepared: &PreparedStatement) {
        let text = prepared.text().trim_start();
        if text
            .get(..4)
            .is_some_and(|verb| verb.eq_ignore_ascii_case("show"))
        {
            let is_request = text.to_ascii_lowercase().contains(REQUEST_SETTING);
            let name = if is_request {
                REQUEST_SETTING
            } else {
                SESSION_SETTING
            };
            self.io.put(&row_description(&[name]));
        } else {
            put_empty(&mut self.io.out, backend::NO_DATA);
        }
    }

    fn put_reply(&mut self, reply: &CommandReply) {
        match reply {
            CommandReply::Shown { value, .. } => {
                self.io.put(&text_row(&[Some(value)]));
                self.io.put(&command_complete("SHOW"));
            }
            CommandReply::Done(tag) => self.io.put(&command_complete(tag)),
        }
    }
}

fn put_empty(out: &mut BytesMut, tag: u8) {
    out.put_u8(tag);
    out.put_u32(4);
}
