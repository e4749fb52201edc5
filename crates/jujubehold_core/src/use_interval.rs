//! How often a host uses an instance, which tells how soon an idle connection is needed again.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::value_type;

/// A new interval has a weight of one in this many in the moving mean.
const INVERSE_WEIGHT: u32 = 8;

value_type! {
    /// The time between the uses of one instance.
    #[derive(Default)]
    pub struct UseInterval {
        last_used_at: Option<Monotonic>,
        mean: Option<Duration>,
    }
}

impl UseInterval {
    /// Records a use.
    pub fn note_use(&mut self, now: Monotonic) {
        if let Some(last) = self.last_used_at {
            let interval = now.saturating_sub(last);
            let mean = self.mean.unwrap_or(interval);
            self.mean = Some((mean * (INVERSE_WEIGHT - 1) + interval) / INVERSE_WEIGHT);
        }
        self.last_used_at = Some(now);
    }

    /// Returns the mean time between two uses; `None` before the second one.
    pub fn mean(&self) -> Option<Duration> {
        self.mean
    }
}
