//! The host's monotonic clock.

use std::time::Instant;

use jujubehold_core::prelude::*;

/// Measures the time since the host's start, the time base that the core uses.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts a clock at zero.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// Returns the time since the clock's start.
    pub fn now(&self) -> Monotonic {
        self.started_at.elapsed()
    }
}
