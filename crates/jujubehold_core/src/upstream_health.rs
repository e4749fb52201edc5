//! What a host's own traffic tells of one instance.
//!
//! Nothing is asked for: answers, their times and their absence are what placement goes by. The
//! load pattern behind it is a replica that falls behind or slows down while others hold.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// The part of a new measure in the mean is one in this many.
const SMOOTHING: u32 = 8;
/// What an instance is taken to need until it has answered once.
const INITIAL_ANSWER_TIME: Duration = Duration::from_millis(40);
/// For how long nothing new goes to an instance that gave no answer; doubled while it goes on.
const FIRST_SILENCE_PAUSE: Duration = Duration::from_millis(300);
/// The longest pause after silence.
const LONGEST_SILENCE_PAUSE: Duration = Duration::from_secs(2);
/// After this time without an answer the learned answer time is worth nothing.
const FORGET_AFTER: Duration = Duration::from_secs(2);

value_type! {
    /// One instance as this host knows it.
    #[derive(Default)]
    pub struct UpstreamHealth {
        answer_time: Option<Duration>,
        answered_at: Option<Monotonic>,
        /// Since when requests have had no answer; `None` while the last one had.
        silent_since: Option<Monotonic>,
        silence: Pause,
    }

    #[derive(Default)]
    struct Pause {
        count: u32,
        until: Monotonic,
    }
}

impl Pause {
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
    /// Notes an answer to a request that was sent `taken` before `now`.
    pub fn note_answer(&mut self, now: Monotonic, taken: Duration) {
        let mean = match self.answer_time {
            Some(mean) => (mean * (SMOOTHING - 1) + taken) / SMOOTHING,
            None => taken,
        };
        self.answer_time = Some(mean);
        self.note_alive(now);
    }

    /// Notes a sign of life that tells nothing of how long a request takes.
    pub fn note_alive(&mut self, now: Monotonic) {
        self.answered_at = Some(now);
        self.silent_since = None;
        self.silence.end();
    }

    /// Notes that a request or a connection that was begun at `begun_at` had no answer.
    pub fn note_silent(&mut self, now: Monotonic, begun_at: Monotonic) {
        // An answer that came after the request began says that the instance lives.
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

    /// Whether the instance has answered anything after `since`.
    pub fn has_answered_since(&self, since: Monotonic) -> bool {
        self.answered_at
            .is_some_and(|answered_at| answered_at > since)
    }

    /// Since when the instance has given no answer.
    pub fn silent_since(&self) -> Option<Monotonic> {
        self.silent_since
    }

    /// Whether nothing new should go to the instance for now.
    pub fn is_silent(&self, now: Monotonic) -> bool {
        now < self.silence.until
    }

    /// How long a request is expected to take, without others of this host in its way.
    pub fn expected_time(&self, now: Monotonic) -> Duration {
        let is_known = self
            .answered_at
            .is_some_and(|answered_at| now.saturating_sub(answered_at) < FORGET_AFTER);
        match self.answer_time {
            Some(mean) if is_known => mean,
            // An old measure fades, so that an instance that was slow is tried again.
            Some(mean) => mean.min(INITIAL_ANSWER_TIME),
            None => INITIAL_ANSWER_TIME,
        }
    }
}
