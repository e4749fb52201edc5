//! The clock that windows and leases are counted on.

use std::time::Duration;

use jujubehold_core::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Reads the time since the host's start, with the time for which the machine was suspended.
///
/// A monotonic clock that stands still during a suspension would let a host go on with a right that
/// lapsed meanwhile.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Clock {
    started_at: Duration,
}

impl Clock {
    /// Starts the clock.
    pub(crate) fn start() -> Self {
        Self {
            started_at: since_boot(),
        }
    }

    /// The present time.
    pub(crate) fn now(&self) -> Monotonic {
        since_boot().saturating_sub(self.started_at)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The clock counts up from zero at the machine's start, so neither part is negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
