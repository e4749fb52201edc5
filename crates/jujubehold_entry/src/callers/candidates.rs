//! Selects the instances that a read may run on, and their order.

use jujubehold_core::read_floor::{ReadFloor, read_floor};
use jujubehold_core::read_placement::{ReadPlacementSettings, placement_order};

use super::failure::Failure;
use super::operation::Operation;
use super::session::Session;
use crate::pool::Upstream;
use crate::prelude::*;

/// How long a read waits for a newer position of the primary: two check intervals and a round trip
/// between regions. Without a newer position, the read would have to run on the primary.
const NEWER_POSITION_TIMEOUT: Duration = Duration::from_millis(350);

/// An instance that a statement may run on.
pub(crate) struct Candidate<P: Platform> {
    pub(crate) upstream: Rc<Upstream<P>>,
    pub(crate) is_primary: bool,
    /// The log position that the instance must have reached, if the statement requires one.
    pub(crate) after: Option<LogPosition>,
    /// How long until the instance is expected to reach `after`.
    pub(crate) wait: Duration,
}

impl<P: Platform> Session<P> {
    /// Waits until the candidate is expected to have reached the required position. Returns `false`
    /// at once if that is after `give_up_at`.
    pub(crate) async fn wait_for_candidate(
        &self,
        candidate: &Candidate<P>,
        give_up_at: Monotonic,
    ) -> bool {
        let now = self.shared.now();
        if now + candidate.wait > give_up_at {
            return false;
        }
        if !candidate.wait.is_zero() {
            actix_rt::time::sleep(candidate.wait).await;
        }
        candidate
            .upstream
            .lag
            .borrow_mut()
            .begin_trial(self.shared.now());
        true
    }

    /// Returns the instances that a read or a read-only transaction may try, in order. If there are
    /// none, waits for the primary.
    pub(crate) async fn read_candidates(
        &self,
        operation: &Operation,
        arrived_at: Monotonic,
    ) -> Result<Vec<Candidate<P>>, Failure> {
        let mut floor = self.read_floor(operation);
        if operation.route.consistency.max_age().is_some() {
            self.shared.with_group(&operation.route.service, |group| {
                group.position_wanted_at = Some(arrived_at);
            });
        }
        let give_up_at = self.shared.now() + NEWER_POSITION_TIMEOUT;
        while floor == ReadFloor::NeedsNewerSample {
            let remaining = give_up_at.saturating_sub(self.shared.now());
            if remaining.is_zero() {
                break;
            }
            self.shared.with_group(&operation.route.service, |group| {
                group.is_position_needed = true;
            });
            self.shared.wait_for_change(remaining).await;
            floor = self.read_floor(operation);
        }
        let candidates = self.candidates_at(operation, floor);
        if !candidates.is_empty() {
            return Ok(candidates);
        }
        let upstream = self.primary(operation, arrived_at).await?;
        Ok(vec![Candidate {
            upstream,
            is_primary: true,
            after: None,
            wait: Duration::ZERO,
        }])
    }

    fn candidates_at(&self, operation: &Operation, floor: ReadFloor) -> Vec<Candidate<P>> {
        let shared = &self.shared;
        let service = &operation.route.service;
        let primary = shared.usable_primary(service).map(|upstream| upstream.id());
        let recorded_primary = {
            let lead_state = shared.lead_state.borrow();
            lead_state
                .table
                .leads
                .get(service)
                .map(|lead| lead.primary.clone())
        };
        let after = match floor {
            ReadFloor::AtLeast(position) => Some(position),
            ReadFloor::PrimaryOnly | ReadFloor::NeedsNewerSample => None,
        };
        let options = shared
            .upstreams_of(service)
            .iter()
            .filter(|upstream| {
                let id = upstream.id();
                let is_usable_primary = primary.as_ref() == Some(&id);
                // A primary that may not be used now can't serve as a replica either: it may be the
                // only instance that has the required position.
                let is_replica = recorded_primary.as_ref() != Some(&id);
                is_usable_primary || (is_replica && after.is_some() && upstream.accepts_work())
            })
            .map(|upstream| {
                let is_primary = primary.as_ref() == Some(&upstream.id());
                let floor = after.filter(|_| !is_primary);
                let wait = floor.map_or(Duration::ZERO, |floor| {
                    self.expected_lag_wait(upstream, floor)
                });
                upstream.placement_option(is_primary, &shared.settings.domain, wait)
            })
            .collect();
        let order = placement_order(&ReadPlacementSettings::default(), shared.now(), options);
        order
            .into_iter()
            .filter_map(|(id, wait)| {
                let is_primary = primary.as_ref() == Some(&id);
                Some(Candidate {
                    upstream: shared.upstream(&id)?,
                    is_primary,
                    after: after.filter(|_| !is_primary),
                    wait,
                })
            })
            .collect()
    }

    fn expected_lag_wait(&self, upstream: &Upstream<P>, floor: LogPosition) -> Duration {
        let now = self.shared.now();
        let service = upstream.entry().service;
        self.shared.with_group(&service, |group| {
            let lag = upstream.lag.borrow();
            lag.expected_wait(now, floor, &group.primary_positions)
        })
    }

    fn read_floor(&self, operation: &Operation) -> ReadFloor {
        let route = &operation.route;
        self.shared.with_group(&route.service, |group| {
            read_floor(
                route.consistency,
                &group.primary_positions,
                self.floor,
                operation.began_at,
            )
        })
    }
}
