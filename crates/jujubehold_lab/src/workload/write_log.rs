//! What callers were told of their writes.

use std::time::{Duration, Instant};

/// The outcomes of one or more callers' writes.
#[derive(Debug, Clone, Default)]
pub struct WriteLog {
    /// The ids of acknowledged writes, with the time of the acknowledgement.
    pub acknowledged: Vec<(u64, Instant)>,
    /// The ids of writes that may have run.
    pub unknown: Vec<u64>,
    /// The ids of writes that the caller gave up on after it was told that they did not run.
    pub not_run: Vec<u64>,
    /// How often a caller was told that its write did not run, and asked again.
    pub refusals: u64,
}

impl WriteLog {
    /// Adds what another caller was told.
    pub fn merge(&mut self, other: Self) {
        self.acknowledged.extend(other.acknowledged);
        self.unknown.extend(other.unknown);
        self.not_run.extend(other.not_run);
        self.refusals += other.refusals;
    }

    /// How long after `failed_at` the first write was acknowledged that was sent to a primary
    /// after the failure; `None` when there was none.
    pub fn gap_after(&self, failed_at: Instant) -> Option<Duration> {
        self.acknowledged
            .iter()
            .filter_map(|(_, at)| at.checked_duration_since(failed_at))
            .min()
    }

    /// The longest time between two acknowledgements next to each other.
    pub fn longest_gap(&self) -> Duration {
        let mut times: Vec<_> = self.acknowledged.iter().map(|(_, at)| *at).collect();
        times.sort_unstable();
        times
            .windows(2)
            .map(|pair| pair[1] - pair[0])
            .max()
            .unwrap_or_default()
    }
}
