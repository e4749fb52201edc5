//! Instances that a host's reads had no answer from, and how long reads keep off them.
//!
//! An instance that hangs takes connections and answers nothing, so every read that goes to it
//! waits in vain; see docs/notes/session-floor.md.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::group_view::GroupView;
use crate::ids::{InstanceId, Monotonic};
use crate::value_type;

/// For how long reads keep off an instance after its first silence; doubled with each further one.
const FIRST_PAUSE: Duration = Duration::from_secs(1);
/// The longest pause, so that an instance that came back is found again.
const LONGEST_PAUSE: Duration = Duration::from_secs(30);

value_type! {
    /// The silent instances of one service; about 60 bytes for each.
    #[derive(Default)]
    pub struct SilentInstances {
        silences: BTreeMap<InstanceId, Silence>,
    }

    struct Silence {
        count: u32,
        noted_at: Monotonic,
        until: Monotonic,
    }
}

impl SilentInstances {
    /// Notes that a read had no answer of `instance`.
    ///
    /// Those that were under way to it together count as one.
    pub fn note_silent(&mut self, now: Monotonic, instance: &InstanceId) {
        let earlier = self.silences.get(instance);
        if earlier.is_some_and(|silence| now < silence.until) {
            return;
        }
        let count = earlier.map_or(0, |silence| silence.count);
        let pause = FIRST_PAUSE.saturating_mul(1 << count.min(16));
        let silence = Silence {
            count: count + 1,
            noted_at: now,
            until: now + pause.min(LONGEST_PAUSE),
        };
        self.silences.insert(instance.clone(), silence);
    }

    /// Notes that `instance` answered.
    pub fn note_answer(&mut self, instance: &InstanceId) {
        self.silences.remove(instance);
    }

    /// Whether `instance` was silent and has not answered since.
    pub fn is_silent(&self, instance: &InstanceId) -> bool {
        self.silences.contains_key(instance)
    }

    /// The instances that a read at `now` should keep off; those that gave a status later than
    /// their silence are not among them.
    ///
    /// Once a pause is over one read may try the instance, and the others keep off it for `trial`.
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
            if now < silence.until {
                avoided.insert(instance.clone());
            } else {
                silence.until = now + trial;
            }
        }
        avoided
    }
}
