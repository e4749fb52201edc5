//! Measures how long requests hold a slot.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::admission::settings::RequestClass;
use crate::value_type;

/// A new measurement has a weight of one in this many in the moving mean.
const INVERSE_WEIGHT: u32 = 8;

value_type! {
    /// The moving mean of the service time, by request class.
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

    pub(super) fn add_measurement(&mut self, class: RequestClass, taken: Duration) {
        self.means
            .entry(class)
            .and_modify(|mean| *mean = (*mean * (INVERSE_WEIGHT - 1) + taken) / INVERSE_WEIGHT)
            .or_insert(taken);
    }

    pub(super) fn mean(&self, class: RequestClass) -> Duration {
        self.means.get(&class).copied().unwrap_or(self.initial)
    }
}
