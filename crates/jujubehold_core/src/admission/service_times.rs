//! How long requests hold a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::settings::RequestClass;
use crate::value_type;

/// The part of a new measure in the mean is one in this many.
const SMOOTHING: u32 = 8;

value_type! {
    /// The moving mean of each class.
    pub(super) struct ServiceTimes {
        initial: Duration,
        means: BTreeMap<RequestClass, Duration>,
    }
}

impl ServiceTimes {
    pub(super) fn new(initial: Duration) -> Self {
        Self {
            initial,
            means: BTreeMap::new(),
        }
    }

    pub(super) fn measure(&mut self, class: RequestClass, taken: Duration) {
        self.means
            .entry(class)
            .and_modify(|mean| *mean = (*mean * (SMOOTHING - 1) + taken) / SMOOTHING)
            .or_insert(taken);
    }

    pub(super) fn mean(&self, class: RequestClass) -> Duration {
        self.means.get(&class).copied().unwrap_or(self.initial)
    }
}
