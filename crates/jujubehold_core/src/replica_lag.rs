//! When a replica will have a position that a read needs.
//!
//! The load pattern behind it: replicas apply commits late by more than a second, and reads differ
//! in how recent the data is that they need. A replica that is late for one read is in time for
//! another, and one that will be in time soon is worth waiting for when the primary has a queue.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::log_position::LogPosition;
use crate::primary_positions::PrimaryPositions;
use crate::value_type;

/// How long an estimate holds before a read may try the replica regardless.
const ESTIMATE_KEPT: Duration = Duration::from_millis(500);
/// The least wait for a replica that has just said that it lacks the position.
const LEAST_WAIT: Duration = Duration::from_millis(15);

value_type! {
    /// How late one replica is, as its own answers tell.
    #[derive(Default)]
    pub struct ReplicaLag {
        lag: Duration,
        position: Option<LogPosition>,
        noted_at: Monotonic,
        lacked: Option<LogPosition>,
    }
}

impl ReplicaLag {
    /// Notes the position of a replica that was asked at `sent_at` and answered by `now`.
    pub fn note(
        &mut self,
        now: Monotonic,
        sent_at: Monotonic,
        position: LogPosition,
        marks: &PrimaryPositions,
    ) {
        self.position = Some(position);
        self.noted_at = now;
        // What the primary had passed before the question left, the replica lacks since then.
        self.lag = marks
            .passed_by_primary(position.term, position.position)
            .map_or(Duration::ZERO, |passed_at| {
                sent_at.saturating_sub(passed_at)
            });
        if self.lacked.is_some_and(|lacked| lacked <= position) {
            self.lacked = None;
        }
    }

    /// Notes that the replica lacked `position`.
    pub fn note_lacked(&mut self, position: LogPosition) {
        self.lacked = Some(self.lacked.map_or(position, |lacked| lacked.min(position)));
    }

    /// How long after `now` the replica is expected to have `floor`.
    pub fn expected_wait(
        &self,
        now: Monotonic,
        floor: LogPosition,
        marks: &PrimaryPositions,
    ) -> Duration {
        let is_known = self.position.is_some_and(|position| position >= floor);
        let is_old = now.saturating_sub(self.noted_at) > ESTIMATE_KEPT;
        if is_known || is_old {
            return Duration::ZERO;
        }
        let reached_at = marks.reached_by_primary(floor.term, floor.position);
        let expected_at = reached_at.unwrap_or(now) + self.lag;
        let wait = expected_at.saturating_sub(now);
        if self.lacked.is_some_and(|lacked| lacked <= floor) {
            return wait.max(LEAST_WAIT);
        }
        wait
    }

    /// Lets one read try the replica regardless of an old estimate, and keeps the others off it
    /// until that has told more.
    pub fn begin_trial(&mut self, now: Monotonic) {
        if now.saturating_sub(self.noted_at) > ESTIMATE_KEPT {
            self.noted_at = now;
        }
    }
}
