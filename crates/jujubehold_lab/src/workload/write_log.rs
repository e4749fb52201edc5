//! The outcomes of writes, as callers received them.

use std::time::{Duration, Instant};

/// The outcomes of one or more callers' writes.
#[derive(Debug, Clone, Default)]
pub struct WriteLog {
    /// The ids of acknowledged writes, with the time of the acknowledgement.
    pub acknowledged: Vec<(u64, Instant)>,
    /// The ids of writes that may have run.
    pub unknown: Vec<u64>,
    /// The ids of writes that were refused as not run and that the caller did not retry again.
    pub not_run: Vec<u64>,
    /// The number of refusals that reported a write as not run. The caller retries such a write
    /// until its deadline.
    pub refusals: u64,
}

impl WriteLog {
    /// Adds the outcomes of another caller.
    pub fn merge(&mut self, other: Self) {
        self.acknowledged.extend(other.acknowledged);
        self.unknown.extend(other.unknown);
        self.not_run.extend(other.not_run);
        self.refusals += other.refusals;
    }

    /// Returns the longest time between two successive acknowledgements after `start`; `None` if
    /// there are fewer than two.
    pub fn longest_silence(&self, start: Instant) -> Option<Duration> {
        let times = self.acknowledged.iter().map(|(_, at)| *at);
        let mut times: Vec<_> = times.filter(|at| *at >= start).collect();
        times.sort_unstable();
        times.windows(2).map(|pair| pair[1] - pair[0]).max()
    }
}
