//! Tracks instances that did not answer a host's reads, and how long reads avoid them.
//!
//! An instance that hangs accepts connections but answers nothing, so every read sent to it waits
//! until it times out; see docs/notes/session-floor.md.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::group_view::GroupView;
use crate::ids::{InstanceId, Monotonic};
use crate::value_type;

/// How long reads avoid an instance after its first silence; doubled with each further one.
const FIRST_SILENCE_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause, so that an instance that has recovered is tried again.
const LONGEST_SILENCE_PAUSE: Duration = Duration::from_secs(30);

value_type! {
    /// The silent instances of one service; each takes about 60 bytes of memory.
    #[derive(Default)]
    pub struct SilentInstances {
        silences: BTreeMap<InstanceId, Silence>,
    }

    struct Silence {
        count: u32,
        noted_at: Monotonic,
        avoided_until: Monotonic,
    }
}

impl SilentInstances {
    /// Records that a read got no answer from `instance`.
    ///
    /// Reads that were in flight at the same time count as one silence.
    pub fn note_silent(&mut self, now: Monotonic, instance: &InstanceId) {
        let previous = self.silences.get(instance);
        if previous.is_some_and(|silence| now < silence.avoided_until) {
            return;
        }
        let count = previous.map_or(0, |silence| silence.count);
        let pause = FIRST_SILENCE_PAUSE.saturating_mul(1 << count.min(16));
        let silence = Silence {
            count: count + 1,
            noted_at: now,
            avoided_until: now + pause.min(LONGEST_SILENCE_PAUSE),
        };
        self.silences.insert(instance.clone(), silence);
    }

    /// Records that `instance` answered.
    pub fn note_answer(&mut self, instance: &InstanceId) {
        self.silences.remove(instance);
    }

    /// Returns whether `instance` was silent and has not answered since.
    pub fn is_silent(&self, instance: &InstanceId) -> bool {
        self.silences.contains_key(instance)
    }

    /// Returns the instances that a read at `now` should avoid.
    ///
    /// An instance whose status was requested after its silence counts as answering again. Once a
    /// pause is over, one read may try the instance, while other reads avoid it for `trial`.
    pub fn avoided(
        &mut self,
        now: Monotonic,
        trial: Duration,
        view: &GroupView,
    ) -> BTreeSet<InstanceId> {
        self.silences.retain(|instance, silence| {
            let sample = view.samples.get(instance);
            sample.is_none_or(|sample| sample.sent_at <= silence.noted_at)
        });
        let mut avoided = BTreeSet::new();
        for (instance, silence) in &mut self.silences {
            if now < silence.avoided_until {
                avoided.insert(instance.clone());
            } else {
                silence.avoided_until = now + trial;
            }
        }
        avoided
    }
}
