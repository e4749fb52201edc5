//! The host's monotonic clock.

use std::time::Instant;

use jujubehold_core::prelude::*;

/// Reads the time since the host's start, which is what the core counts in.
#[derive(Debug, Clone, Copy)]
pub struct Clock {
    started_at: Instant,
}

impl Clock {
    /// Starts the clock.
    pub fn start() -> Self {
        Self {
            started_at: Instant::now(),
        }
    }

    /// The present time.
    pub fn now(&self) -> Monotonic {
        self.started_at.elapsed()
    }
}
