//! A deterministic pseudorandom sequence from a seed.

use jujubehold_core::ownership::mix;

pub(crate) struct Random(u64);

impl Random {
    pub(crate) fn new(seed: u64) -> Self {
        Self(mix(seed ^ 0x5eed))
    }

    pub(crate) fn below(&mut self, limit: u64) -> u64 {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.0) % limit
    }

    pub(crate) fn percent(&mut self, percent: u64) -> bool {
        self.below(100) < percent
    }

    pub(crate) fn between(&mut self, low: u64, high: u64) -> u64 {
        low + self.below(high - low)
    }
}
