//! Checks a write before any part of it is sent.
//!
//! See docs/notes/write-path.md.

use jujubehold_core::prelude::*;
use jujubehold_core::session_floor::FloorKnowledge;

use super::acknowledge::prove_term;
use super::batch_error::BatchError;
use super::session::Session;
use crate::routing_table::ServiceRoute;

/// The oldest status by which a replica counts as able to confirm a write.
const MAX_CONFIRMING_STATUS_AGE: std::time::Duration = std::time::Duration::from_secs(3);

/// How long replicas may take to prove that they can confirm a write.
pub(crate) const PROOF_TIMEOUT: std::time::Duration = std::time::Duration::from_millis(500);

impl Session {
    /// Refuses a write of a session that knows of a later term or whose last write was lost in a
    /// failover.
    pub(crate) fn check_floor(&self, route: &ServiceRoute) -> Result<(), BatchError> {
        let view = &route.view;
        if let FloorKnowledge::Floor(floor) = &self.floor {
            let sample = view
                .primary
                .as_ref()
                .and_then(|name| view.samples.get(name));
            let is_floor_lost = sample.is_some_and(|sample| {
                sample.status.is_primary_of(view.term)
                    && floor.check(&sample.status) == FloorCheck::Lost
            });
            if is_floor_lost {
                return Err(RefusalReason::FloorLost.into());
            }
            if floor.term > view.term {
                return Err(RefusalReason::NoPrimary.into());
            }
        }
        Ok(())
    }

    /// Refuses a write that the replicas can't confirm.
    pub(crate) async fn check_confirmable(&self, route: &ServiceRoute) -> Result<(), BatchError> {
        if self.is_confirmable(route, &route.view) {
            return Ok(());
        }
        // The routing table's samples may merely be old.
        let mut refreshed_view = route.view.clone();
        let deadline = self.shared.clock.now() + PROOF_TIMEOUT;
        prove_term(&self.shared, route, &mut refreshed_view, deadline).await;
        if self.is_confirmable(route, &refreshed_view) {
            return Ok(());
        }
        Err(RefusalReason::NoConfirmingReplica.into())
    }

    fn is_confirmable(&self, route: &ServiceRoute, view: &GroupView) -> bool {
        let now = self.shared.clock.now();
        let is_primary = |name: &InstanceId| view.primary.as_ref() == Some(name);
        let can_confirm = |name: &InstanceId| {
            view.samples.get(name).is_some_and(|sample| {
                now.saturating_sub(sample.sent_at) < MAX_CONFIRMING_STATUS_AGE
                    && sample.status.confirms_term(view.term)
            })
        };
        let config = &route.config;
        let replicas = config.instances.keys().filter(|name| !is_primary(name));
        replicas.filter(|name| can_confirm(name)).count() >= config.min_confirming_replicas()
            && config.intersects_every_majority(|name| is_primary(name) || can_confirm(name))
    }
}
