//! The figures of a load.

use std::time::Duration;

use hdrhistogram::Histogram;

/// The highest latency that the histogram distinguishes, in microseconds.
const MAX_LATENCY_US: u64 = 60_000_000;

/// The counts and latencies of one load.
#[derive(Debug, Clone)]
pub struct LoadReport {
    /// How long the load ran.
    pub elapsed: Duration,
    /// The number of statements that succeeded.
    pub succeeded: u64,
    /// The number of statements that were refused or failed.
    pub failed: u64,
    /// The latencies of the statements that succeeded, in microseconds.
    pub latency_us: Histogram<u64>,
}

impl LoadReport {
    /// Creates an empty report.
    ///
    /// # Panics
    /// Never: the histogram's bounds are valid.
    pub fn new() -> Self {
        let latency_us = Histogram::new_with_bounds(1, MAX_LATENCY_US, 3)
            .expect("the bounds of the histogram are valid");
        Self {
            elapsed: Duration::ZERO,
            succeeded: 0,
            failed: 0,
            latency_us,
        }
    }

    /// Records one statement.
    pub fn record(&mut self, is_ok: bool, latency: Duration) {
        if !is_ok {
            self.failed += 1;
            return;
        }
        self.succeeded += 1;
        let micros = u64::try_from(latency.as_micros()).unwrap_or(MAX_LATENCY_US);
        self.latency_us.saturating_record(micros);
    }

    /// Adds the figures of another thread that ran at the same time.
    ///
    /// # Panics
    /// Never: all reports have the same bounds.
    pub fn merge(&mut self, other: &Self) {
        self.elapsed = self.elapsed.max(other.elapsed);
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.latency_us
            .add(&other.latency_us)
            .expect("all reports have the same bounds");
    }

    /// Returns the number of successful statements a second.
    pub fn rate_per_s(&self) -> f64 {
        self.succeeded as f64 / self.elapsed.as_secs_f64().max(f64::EPSILON)
    }

    /// Returns a percentile of the latencies, in microseconds.
    pub fn percentile_us(&self, percent: f64) -> u64 {
        self.latency_us.value_at_percentile(percent)
    }
}

impl Default for LoadReport {
    fn default() -> Self {
        Self::new()
    }
}
