//! Estimates when a replica will have a position that a read needs.
//!
//! Replicas may apply commits more than a second late, and reads differ in how recent their data
//! must be. A replica that is too far behind for one read can serve another, and one that will
//! catch up soon is worth waiting for when the primary has a queue.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::log_position::LogPosition;
use crate::primary_positions::PrimaryPositions;
use crate::value_type;

/// How long an estimate is valid; after that, a read may try the replica regardless of it.
const ESTIMATE_VALIDITY: Duration = Duration::from_millis(500);
/// The shortest expected wait for a position that the replica reported that it lacks.
const MIN_WAIT_FOR_LACKED: Duration = Duration::from_millis(15);

value_type! {
    /// The replication lag of one replica, estimated from its own answers.
    #[derive(Default)]
    pub struct ReplicaLag {
        lag: Duration,
        position: Option<LogPosition>,
        /// When the replica last answered, or when the last trial began.
        noted_at: Monotonic,
        /// The lowest position that the replica reported that it lacks, until it has that position.
        lacked: Option<LogPosition>,
    }
}

impl ReplicaLag {
    /// Records the position of a replica that was asked at `sent_at` and answered by `now`.
    pub fn note(
        &mut self,
        now: Monotonic,
        sent_at: Monotonic,
        position: LogPosition,
        primary_positions: &PrimaryPositions,
    ) {
        self.position = Some(position);
        self.noted_at = now;
        // The replica is behind since the primary passed the replica's position.
        self.lag = primary_positions
            .passed_by_primary(position.term, position.position)
            .map_or(Duration::ZERO, |passed_at| {
                sent_at.saturating_sub(passed_at)
            });
        if self.lacked.is_some_and(|lacked| lacked <= position) {
            self.lacked = None;
        }
    }

    /// Records that the replica reported that it lacks `position`.
    pub fn note_lacked(&mut self, position: LogPosition) {
        self.lacked = Some(self.lacked.map_or(position, |lacked| lacked.min(position)));
    }

    /// Estimates how long after `now` the replica will have `floor`.
    pub fn expected_wait(
        &self,
        now: Monotonic,
        floor: LogPosition,
        primary_positions: &PrimaryPositions,
    ) -> Duration {
        let is_known = self.position.is_some_and(|position| position >= floor);
        let is_old = now.saturating_sub(self.noted_at) > ESTIMATE_VALIDITY;
        if is_known || is_old {
            return Duration::ZERO;
        }
        let reached_at = primary_positions.reached_by_primary(floor.term, floor.position);
        let expected_at = reached_at.unwrap_or(now) + self.lag;
        let wait = expected_at.saturating_sub(now);
        if self.lacked.is_some_and(|lacked| lacked <= floor) {
            return wait.max(MIN_WAIT_FOR_LACKED);
        }
        wait
    }

    /// Starts a trial of the replica by one read when the estimate is outdated.
    ///
    /// The old estimate is valid for another period, so that other reads avoid the replica until
    /// the trial gives a new one.
    pub fn begin_trial(&mut self, now: Monotonic) {
        if now.saturating_sub(self.noted_at) > ESTIMATE_VALIDITY {
            self.noted_at = now;
        }
    }
}
