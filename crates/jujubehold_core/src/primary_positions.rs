//! The primary's log positions over time.

use std::collections::VecDeque;
use std::time::Duration;

use crate::ids::{Monotonic, Position, Term};
use crate::instance_status::InstanceStatus;
use crate::proof_sharing::happened_since_start;
use crate::value_type;

/// How much later than a sample a request must have been sent so that its answer is certainly
/// newer.
///
/// Requests can overtake each other on different connections, so a position can seem to shrink.
const REORDERING_MARGIN: Duration = Duration::from_secs(1);

/// The maximum number of samples kept; a sample takes 40 bytes.
const MAX_SAMPLES: usize = 64;

value_type! {
    /// Sampled log positions of the current primary, with the times at which they were requested.
    ///
    /// A replica that has applied a sample's position has all data that was acknowledged when the
    /// sample was requested, so its data is no older than the sample.
    #[derive(Default)]
    pub struct PrimaryPositions {
        term: Term,
        samples: VecDeque<PositionSample>,
    }

    struct PositionSample {
        // When the first and the last of the requests that returned this position were sent.
        first_sent_at: Monotonic,
        sent_at: Monotonic,
        position: Position,
    }

    /// The bounds of a replica's lag according to one status.
    pub struct LagBounds {
        /// The replica has not applied what the primary already had this long before.
        pub min_lag: Duration,
        /// The replica has applied everything that the primary wrote up to this long before; `None`
        /// if no sample shows when it was written.
        pub max_lag: Option<Duration>,
    }
}

impl PrimaryPositions {
    /// Adds the position that the primary of `term` reported to a request sent at `sent_at`.
    ///
    /// Samples of lower terms are dropped, since a replaced primary's position proves nothing.
    pub fn add(&mut self, term: Term, sent_at: Monotonic, position: Position) {
        if term < self.term {
            return;
        }
        if term > self.term {
            self.term = term;
            self.samples.clear();
        }
        let sample = PositionSample {
            first_sent_at: sent_at,
            sent_at,
            position,
        };
        let Some(last) = self.samples.back_mut() else {
            self.samples.push_back(sample);
            return;
        };
        if sent_at <= last.sent_at || position < last.position {
            return;
        }
        if last.position == position {
            last.sent_at = sent_at;
            return;
        }
        self.samples.push_back(sample);
        if self.samples.len() > MAX_SAMPLES {
            self.thin();
        }
    }

    /// Adds a position that the primary of `term` reported to another host, which stated its `age` in
    /// the answer to a question sent at `asked_at`.
    ///
    /// A position from before this host's clock began is left out: at the beginning of the clock it
    /// would seem recent, and reads of old data would be allowed.
    pub fn add_reported(
        &mut self,
        term: Term,
        asked_at: Monotonic,
        age: Duration,
        position: Position,
    ) {
        if let Some(sent_at) = happened_since_start(asked_at, age) {
            self.add(term, sent_at, position);
        }
    }

    /// Returns the term of the samples; 0 if there are none.
    pub fn term(&self) -> Term {
        self.term
    }

    /// Returns when the newest sample of `term` was requested.
    pub fn newest(&self, term: Term) -> Option<Monotonic> {
        let sample = self.samples.back()?;
        (term == self.term).then_some(sample.sent_at)
    }

    /// Returns the newest position and when it was last requested.
    pub fn newest_position(&self) -> Option<(Position, Monotonic)> {
        let sample = self.samples.back()?;
        Some((sample.position, sample.sent_at))
    }

    /// Returns when the newest sample that the instance has applied was requested.
    pub fn newest_reached(&self, term: Term, status: &InstanceStatus) -> Option<Monotonic> {
        if term != self.term {
            return None;
        }
        self.samples
            .iter()
            .rev()
            .find(|sample| {
                status.applied >= sample.position && status.history.contains(term, sample.position)
            })
            .map(|sample| sample.sent_at)
    }

    /// Returns whether a primary that was asked at `sent_at` has less than it certainly had before.
    pub fn is_regression(&self, term: Term, sent_at: Monotonic, position: Position) -> bool {
        term == self.term
            && self.samples.iter().any(|sample| {
                sample.position > position && sample.sent_at + REORDERING_MARGIN <= sent_at
            })
    }

    /// Returns when the primary was first seen at or beyond `position`.
    pub fn reached_by_primary(&self, term: Term, position: Position) -> Option<Monotonic> {
        let sample = self
            .samples
            .iter()
            .find(|sample| sample.position >= position)?;
        (term == self.term).then_some(sample.first_sent_at)
    }

    /// Returns when the primary was first seen beyond `position`; `None` if it has not been yet.
    pub fn passed_by_primary(&self, term: Term, position: Position) -> Option<Monotonic> {
        let sample = self
            .samples
            .iter()
            .find(|sample| sample.position > position)?;
        (term == self.term).then_some(sample.first_sent_at)
    }

    /// Returns the position at which data is certainly complete as of `time`, and when the primary
    /// was first seen there. That can be long before `time` if the primary writes rarely.
    pub fn complete_as_of(&self, term: Term, time: Monotonic) -> Option<(Position, Monotonic)> {
        let sample = self.samples.iter().find(|sample| sample.sent_at >= time)?;
        (term == self.term).then_some((sample.position, sample.first_sent_at))
    }

    /// Returns what a status requested at `sent_at` shows about its instance's lag; `None` if the
    /// instance has applied no sample.
    pub fn lag_bounds(
        &self,
        term: Term,
        sent_at: Monotonic,
        status: &InstanceStatus,
    ) -> Option<LagBounds> {
        if term != self.term {
            return None;
        }
        let is_applied = |sample: &PositionSample| {
            status.applied >= sample.position && status.history.contains(term, sample.position)
        };
        let reached = self.samples.iter().rposition(is_applied)?;
        let next = self.samples.get(reached + 1);
        let previous = reached.checked_sub(1).map(|index| &self.samples[index]);
        Some(LagBounds {
            min_lag: next.map_or(Duration::ZERO, |sample| {
                sent_at.saturating_sub(sample.first_sent_at)
            }),
            max_lag: previous.map(|sample| sent_at.saturating_sub(sample.sent_at)),
        })
    }

    // Old samples may be further apart, so every second one of the older half is dropped.
    fn thin(&mut self) {
        let mut index = 0;
        self.samples.retain(|_| {
            index += 1;
            index > MAX_SAMPLES / 2 || index % 2 == 0
        });
    }
}
