//! Runs writes under a request name, which run at most once no matter how often they are retried.
//!
//! A record of the name is inserted in the write's own transaction, so that either both commit or
//! neither does. A retry that finds the record is answered from it. See docs/notes/outcomes.md.

use jujubehold_core::prelude::*;
use jujubehold_core::request_name::digest;
use jujubehold_pg::ready_for_query;

use super::batch_error::BatchError;
use super::message_batch::MessageBatch;
use super::named_batch::NamedHint;
use super::named_execution::{NamedOutcome, unsupported};
use super::named_request::NamedRequest;
use super::outcome_record::release_and_prune;
use super::replacement::while_primary;
use super::session::Session;
use super::transaction::PinnedConnection;
use super::write_path::WriteOutcome;
use crate::routing_table::ServiceRoute;

impl Session {
    /// Returns whether a batch that writes runs under a name, including one that looked like a
    /// read.
    pub(crate) fn runs_under_name(&self, batch: &MessageBatch) -> bool {
        self.is_named_write(batch)
            || (self.request.is_some() && batch.class == StatementClass::Read)
    }

    /// Returns whether a batch is the write that the caller named.
    pub(crate) fn is_named_write(&self, batch: &MessageBatch) -> bool {
        self.request.is_some()
            && match batch.class {
                StatementClass::Write | StatementClass::Begin => true,
                StatementClass::Read
                | StatementClass::BeginReadOnly
                | StatementClass::Commit
                | StatementClass::Rollback
                | StatementClass::Session
                | StatementClass::Unsupported => false,
            }
    }

    /// Attempts the named write once; the name is used up when the write's answer is sent.
    pub(crate) async fn attempt_named_write(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<WriteOutcome, BatchError> {
        let request = self.named_request(batch).map_err(unsupported)?;
        let (mut connection, instance) = match self.open_primary(batch, route).await? {
            Ok(opened) => opened,
            Err(reason) => return Ok(WriteOutcome::Retry(reason)),
        };
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let run = self.run_named_on(&mut connection, &instance, batch, &request, route);
        match while_primary(&shared, &service, &instance, run).await? {
            NamedOutcome::Committed { status, sent_at } => {
                let is_uncancelled = self.key.running.end();
                self.report_status(route, sent_at, &status);
                release_and_prune(
                    connection,
                    is_uncancelled,
                    self.shared.settings.outcome_kept,
                );
                self.acknowledge_commit(batch, route, instance, sent_at, &status)
                    .await?;
            }
            NamedOutcome::Failed => {
                self.release_connection(connection);
                self.io.put(&ready_for_query(b'I'));
                self.io.flush().await.map_err(BatchError::Caller)?;
            }
            NamedOutcome::TransactionOpen => {
                self.is_transaction_named = true;
                self.io.put(&ready_for_query(b'T'));
                self.pinned = Some(PinnedConnection {
                    connection,
                    instance,
                    is_primary: true,
                    is_in_pipeline: false,
                    status: b'T',
                });
                self.io.flush().await.map_err(BatchError::Caller)?;
            }
            NamedOutcome::Retry(reason) => {
                if reason == RetryReason::NotPrimary {
                    self.release_connection(connection);
                }
                return Ok(WriteOutcome::Retry(reason));
            }
        }
        self.request = None;
        Ok(WriteOutcome::Done)
    }

    fn named_request(&self, batch: &MessageBatch) -> Result<NamedRequest, NamedHint> {
        let (digest, begin, tag) = if batch.is_begin() {
            // A transaction's statements are unknown when it opens, so its name alone identifies
            // it.
            let digest = digest([&b"transaction"[..]]);
            (digest, batch.begin_text()?.to_owned(), "COMMIT")
        } else {
            (batch.request_digest()?, "BEGIN".to_owned(), "")
        };
        Ok(NamedRequest {
            service: self.service.clone(),
            caller: self.user.clone(),
            name: self.request.clone().unwrap_or_default(),
            digest,
            begin,
            tag,
        })
    }
}
