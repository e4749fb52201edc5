//! Runs statements within a transaction, which stay on their connection.

use bytes::BytesMut;
use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError, backend, query, ready_for_query};

use super::answer::{Delivery, relay_answer};
use super::batch_error::BatchError;
use super::checked_out_connection::CheckedOutConnection;
use super::message_batch::MessageBatch;
use super::replacement::while_primary;
use super::session::Session;
use super::status_answer::{STATUS_QUERY, read_status};
use crate::routing_table::ServiceRoute;

/// A connection that a session keeps because a transaction or pipeline is open on it.
///
/// It is closed when the caller disconnects, so that the upstream rolls the transaction back.
#[derive(Debug)]
pub(crate) struct PinnedConnection {
    pub(crate) connection: CheckedOutConnection,
    pub(crate) instance: InstanceId,
    /// Whether commits on it must be acknowledged.
    pub(crate) is_primary: bool,
    /// Whether the caller's pipeline continues without a Sync.
    pub(crate) is_in_pipeline: bool,
    /// The transaction status that was last sent to the caller.
    pub(crate) status: u8,
}

impl Session {
    /// Runs a batch on the session's pinned connection.
    ///
    /// A failure ends the session: the transaction is lost, and the caller's next statements must
    /// not run outside of it.
    pub(crate) async fn run_pinned(
        &mut self,
        pinned: PinnedConnection,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<(), BatchError> {
        let limit = batch.deadline.saturating_sub(self.shared.clock.now());
        let (shared, service) = (self.shared.clone(), self.service.clone());
        let primary = pinned.is_primary.then(|| pinned.instance.clone());
        let run = self.run_in_transaction(pinned, batch, route);
        let run = async {
            match primary {
                Some(primary) => while_primary(&shared, &service, &primary, run).await,
                None => run.await,
            }
        };
        let result = tokio::time::timeout(limit, run)
            .await
            .unwrap_or(Err(BatchError::Unknown(UnknownReason::TimedOut)));
        if result.is_ok() && self.pinned.is_none() {
            self.is_transaction_named = false;
        }
        match result {
            Err(BatchError::Unknown(reason)) => Err(BatchError::Ended(reason)),
            other => other,
        }
    }

    async fn run_in_transaction(
        &mut self,
        mut pinned: PinnedConnection,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<(), BatchError> {
        let mut bytes = BytesMut::new();
        let plan = batch.write_for(&mut pinned.connection, &mut bytes);
        let is_commit = batch.class == StatementClass::Commit && !batch.ends_with_flush;
        if is_commit {
            bytes.extend_from_slice(query(STATUS_QUERY).bytes());
        }
        self.key.running.start(pinned.connection.cancel_target());
        let mut sent_at = self.shared.clock.now();
        if pinned.connection.send(&bytes).await.is_err() {
            self.report_unreachable(&pinned.instance);
            return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
        }
        let is_plain_read = batch.class == StatementClass::Read && !pinned.is_in_pipeline;
        let delivery = if is_plain_read {
            Delivery::Streamed
        } else {
            Delivery::HoldEnd
        };
        let relayed = relay_answer(&mut pinned.connection, plan, &mut self.io, delivery).await;
        let answered = self.check_relayed(relayed, &pinned.instance)?;
        let mut status = None;
        if is_commit {
            status = Some(read_status(&mut pinned.connection).await);
        }
        if answered.status != Some(b'I') {
            if let Some(status) = answered.status {
                self.io.put(&ready_for_query(status));
                pinned.status = status;
            }
            pinned.is_in_pipeline = answered.status.is_none();
            self.pinned = Some(pinned);
            return self.io.flush().await.map_err(BatchError::Caller);
        }
        let has_no_commit = batch.class == StatementClass::Rollback
            || (is_commit && answered.is_rolled_back)
            || (batch.is_single && answered.sqlstate.is_some());
        if has_no_commit || !pinned.is_primary {
            self.release_connection(pinned.connection);
            self.io.put(&ready_for_query(b'I'));
            return self.io.flush().await.map_err(BatchError::Caller);
        }
        if status.is_none() {
            // A text that was not classified as a commit ended the transaction.
            sent_at = self.shared.clock.now();
            let sent = pinned.connection.send(query(STATUS_QUERY).bytes()).await;
            if sent.is_err() {
                return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
            }
            status = Some(read_status(&mut pinned.connection).await);
        }
        let Some(Ok(Some(status))) = status else {
            return Err(BatchError::Unknown(UnknownReason::ConnectionLost));
        };
        self.release_connection(pinned.connection);
        self.report_status(route, sent_at, &status);
        self.acknowledge_commit(batch, route, pinned.instance, sent_at, &status)
            .await
    }

    /// Writes the commands that apply the session's settings to `connection`; returns whether it
    /// needs any.
    pub(crate) fn write_settings(
        &self,
        connection: &mut CheckedOutConnection,
        out: &mut BytesMut,
    ) -> bool {
        let wanted = self.upstream_settings.commands();
        if connection.settings() == wanted {
            return false;
        }
        let commands: Frame = query(&format!("RESET ALL;{wanted}"));
        out.extend_from_slice(commands.bytes());
        *connection.settings() = wanted.clone();
        true
    }

    /// Reads the answer to these commands; returns `false` if the upstream rejected one of them.
    pub(crate) async fn read_settings_answer(
        &self,
        connection: &mut CheckedOutConnection,
    ) -> Result<bool, BatchError> {
        let mut is_accepted = true;
        loop {
            let frame = connection.receive().await;
            let frame = frame.map_err(|_: FrameError| RefusalReason::UpstreamUnreachable)?;
            match frame.tag() {
                backend::READY_FOR_QUERY => return Ok(is_accepted),
                backend::ERROR_RESPONSE => is_accepted = false,
                _ => {}
            }
        }
    }
}
