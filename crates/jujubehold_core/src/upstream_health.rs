//! Estimates the health of one instance from a host's own traffic.
//!
//! It sends no requests of its own: read placement goes by the answers to callers' requests, their
//! times and their absence. This guards against a replica that falls behind or slows down while the
//! others do not.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// A new measurement has a weight of one in this many in the moving mean.
const INVERSE_WEIGHT: u32 = 8;
/// The assumed answer time of an instance that has not answered yet.
const INITIAL_ANSWER_TIME: Duration = Duration::from_millis(40);
/// How long no new request goes to an instance that did not answer; doubled while the silence
/// lasts.
const FIRST_SILENCE_PAUSE: Duration = Duration::from_millis(300);
/// The longest pause after silence.
const LONGEST_SILENCE_PAUSE: Duration = Duration::from_secs(2);
/// How long the measured answer time is trusted after the last answer.
const ANSWER_TIME_VALIDITY: Duration = Duration::from_secs(2);

value_type! {
    /// The health of one instance as this host observes it.
    #[derive(Default)]
    pub struct UpstreamHealth {
        answer_time: Option<Duration>,
        answered_at: Option<Monotonic>,
        /// Since when requests have not been answered; `None` if the instance is answering.
        silent_since: Option<Monotonic>,
        silence: SilencePause,
    }

    #[derive(Default)]
    struct SilencePause {
        count: u32,
        until: Monotonic,
    }
}

impl SilencePause {
    fn extend(&mut self, now: Monotonic, first: Duration, longest: Duration) {
        if now < self.until {
            return;
        }
        let pause = first.saturating_mul(1 << self.count.min(10));
        self.until = now + pause.min(longest);
        self.count += 1;
    }

    fn end(&mut self) {
        *self = Self::default();
    }
}

impl UpstreamHealth {
    /// Records an answer to a request that was sent `taken` before `now`.
    pub fn note_answer(&mut self, now: Monotonic, taken: Duration) {
        let mean = match self.answer_time {
            Some(mean) => (mean * (INVERSE_WEIGHT - 1) + taken) / INVERSE_WEIGHT,
            None => taken,
        };
        self.answer_time = Some(mean);
        self.note_alive(now);
    }

    /// Records an answer that gives no measure of how long a request takes.
    pub fn note_alive(&mut self, now: Monotonic) {
        self.answered_at = Some(now);
        self.silent_since = None;
        self.silence.end();
    }

    /// Records that a request, or an attempt to connect, that began at `begun_at` got no answer.
    pub fn note_silent(&mut self, now: Monotonic, begun_at: Monotonic) {
        // An answer that arrived after the request began shows that the instance is alive.
        if self
            .answered_at
            .is_some_and(|answered_at| answered_at > begun_at)
        {
            return;
        }
        self.silent_since = Some(
            self.silent_since
                .map_or(begun_at, |since| since.min(begun_at)),
        );
        self.silence
            .extend(now, FIRST_SILENCE_PAUSE, LONGEST_SILENCE_PAUSE);
    }

    /// Returns whether the instance has answered anything after `since`.
    pub fn has_answered_since(&self, since: Monotonic) -> bool {
        self.answered_at
            .is_some_and(|answered_at| answered_at > since)
    }

    /// Returns since when the instance has not answered, or `None` if it is answering.
    pub fn silent_since(&self) -> Option<Monotonic> {
        self.silent_since
    }

    /// Returns whether new requests should avoid the instance for now.
    pub fn is_silent(&self, now: Monotonic) -> bool {
        now < self.silence.until
    }

    /// Estimates how long a request takes if no other request of this host is ahead of it.
    pub fn expected_time(&self, now: Monotonic) -> Duration {
        let is_valid = self
            .answered_at
            .is_some_and(|answered_at| now.saturating_sub(answered_at) < ANSWER_TIME_VALIDITY);
        match self.answer_time {
            Some(mean) if is_valid => mean,
            // An outdated measurement is capped, so that an instance that was slow is tried again.
            Some(mean) => mean.min(INITIAL_ANSWER_TIME),
            None => INITIAL_ANSWER_TIME,
        }
    }
}
