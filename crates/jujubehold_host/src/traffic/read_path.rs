//! Runs reads and opens transactions: tries candidates until one is fresh enough.
//!
//! `read_attempt` runs a single attempt; see docs/notes/callers-side.md.

use std::time::Duration;

use jujubehold_core::group_view::Sample;
use jujubehold_core::prelude::*;
use jujubehold_core::read_attempts::{ReadAttempts, ReadStep};
use jujubehold_core::read_candidates::{ReadContext, read_candidates};
use jujubehold_core::read_policy::ReadNeed;
use jujubehold_core::route::route_write;
use jujubehold_pg::ready_for_query;

use super::answer::AnswerSummary;
use super::batch_error::BatchError;
use super::checked_out_connection::CheckedOutConnection;
use super::message_batch::MessageBatch;
use super::read_attempt::{ReadOutcome, SILENCE_TIMEOUT};
use super::retry_budgets::RetryBudgets;
use super::session::Session;
use super::status_queries;
use super::transaction::PinnedConnection;
use crate::observation::Observation;
use crate::routing_table::ServiceRoute;

/// A status is reported to the control thread if its sample of the instance is older than this.
const MIN_SAMPLE_AGE: Duration = Duration::from_millis(20);
/// How long a read may wait for a replica to catch up before the primary serves it.
const MAX_CATCH_UP_WAIT: Duration = Duration::from_millis(8);

impl Session {
    /// Runs a read on the best instance that is fresh enough.
    pub(crate) async fn run_read(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<(), BatchError> {
        let need = ReadNeed::new(&route.config, self.floor.clone(), batch.arrived_at);
        let context = ReadContext {
            domain: self.shared.settings.domain.clone(),
            region: self.shared.settings.region.clone(),
            now: batch.arrived_at,
            avoided: self.shared.silence_tracker.avoided(
                &self.service,
                batch.arrived_at,
                SILENCE_TIMEOUT,
                &route.view,
            ),
            max_catch_up_wait: MAX_CATCH_UP_WAIT,
            spread_seed: rand::random(),
        };
        let fresh_view = self.fresh_view(route, &need).await;
        if fresh_view.is_none() && need.wants_newer_sample(&route.view) {
            self.refresh_primary_position(route, &need);
        }
        let view = fresh_view.as_ref().unwrap_or(&route.view);
        let candidates = read_candidates(&route.config, view, &need, &context);
        self.run_on_candidates(batch, route, fresh_view, &need, candidates)
            .await
    }

    /// Returns the view with a new sample of the primary's position, if no replica's answer can
    /// meet the need without one.
    ///
    /// The status query is shared by all sessions that need it at the same time, and costs the
    /// primary far less than the read would. If it is not answered, the routing table's view is
    /// used.
    async fn fresh_view(&self, route: &ServiceRoute, need: &ReadNeed) -> Option<GroupView> {
        if !need.needs_newer_sample(&route.view) {
            return None;
        }
        let primary = route.view.primary.as_ref()?;
        let answer =
            status_queries::query_status(&self.shared, &self.service, primary, route.view.term, 0);
        let answer = answer.await.ok()?;
        self.report_status(route, answer.sent_at, &answer.status);
        let mut view = route.view.clone();
        view.observe(answer.sent_at, answer.status);
        Some(view)
    }

    /// Samples the primary's position in the background, so that later reads know the age of the
    /// replicas' data more precisely.
    fn refresh_primary_position(&self, route: &ServiceRoute, need: &ReadNeed) {
        if let Some(primary) = &route.view.primary {
            let interval = need.sampling_interval();
            status_queries::refresh_primary_position(
                &self.shared,
                &self.service,
                primary,
                route.view.term,
                interval,
            );
        }
    }

    /// Opens a transaction on the primary.
    pub(crate) async fn run_begin(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
    ) -> Result<(), BatchError> {
        let need = ReadNeed::new(&route.config, self.floor.clone(), batch.arrived_at);
        let primary = route_write(&route.config, &route.view)?;
        self.run_on_candidates(batch, route, None, &need, vec![primary])
            .await
    }

    async fn run_on_candidates(
        &mut self,
        batch: &MessageBatch,
        route: &ServiceRoute,
        fresh_view: Option<GroupView>,
        need: &ReadNeed,
        candidates: Vec<InstanceId>,
    ) -> Result<(), BatchError> {
        let mut attempts = ReadAttempts::new(candidates, route.view.primary.clone());
        let mut step = attempts.first();
        loop {
            let instance = match step {
                ReadStep::Try(instance) => instance,
                ReadStep::TryAgain(instance, pause) => {
                    RetryBudgets::count_retry(&self.service, RetryReason::ReplicaBehind);
                    actix_rt::time::sleep(pause).await;
                    instance
                }
                ReadStep::Refuse(reason) => return Err(reason.into()),
            };
            let view = fresh_view.as_ref();
            match self
                .attempt_read(batch, route, view, need, &instance)
                .await?
            {
                ReadOutcome::Served => return Ok(()),
                ReadOutcome::IsWrite => return Box::pin(self.run_write(batch, route)).await,
                ReadOutcome::Next(reason) => {
                    let take_retry = || self.shared.retries.try_retry(&self.service, reason);
                    step = attempts.next(reason, take_retry);
                }
            }
        }
    }

    /// Sends the end of an answer, and keeps the connection while a transaction is open.
    pub(super) async fn finish_answer(
        &mut self,
        connection: CheckedOutConnection,
        instance: &InstanceId,
        answered: &AnswerSummary,
        is_primary: bool,
    ) -> Result<(), BatchError> {
        if let Some(status) = answered.status {
            self.io.put(&ready_for_query(status));
        }
        if answered.status == Some(b'I') {
            // Released before the flush, so that a slow caller does not hold up the next user.
            self.release_connection(connection);
        } else {
            self.pinned = Some(PinnedConnection {
                connection,
                instance: instance.clone(),
                is_primary,
                is_in_pipeline: answered.status.is_none(),
                status: answered.status.unwrap_or(b'T'),
            });
        }
        self.io.flush().await.map_err(BatchError::Caller)
    }

    /// Reports a status to the control thread unless it has a recent sample of the instance.
    pub(crate) fn report_status(
        &self,
        route: &ServiceRoute,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) {
        let is_sample_outdated = route
            .view
            .samples
            .get(&status.instance)
            .is_none_or(|sample: &Sample| sent_at.saturating_sub(sample.sent_at) > MIN_SAMPLE_AGE);
        if !is_sample_outdated {
            return;
        }
        // The control thread ends only with the host.
        let _ = self.shared.observations.send(Observation::Status {
            service: self.service.clone(),
            sent_at,
            status: status.clone(),
        });
    }

    /// Reports to the control thread that an instance did not answer or could not be connected to,
    /// and ends the running statement's registration for cancel requests.
    pub(crate) fn report_unreachable(&self, instance: &InstanceId) {
        self.key.running.end();
        // The control thread ends only with the host.
        let _ = self.shared.observations.send(Observation::Unreachable {
            service: self.service.clone(),
            instance: instance.clone(),
        });
    }
}
