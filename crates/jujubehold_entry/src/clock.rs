//! The clock by which leases and other time limits are measured.

use std::time::Duration;

use jujubehold_core::prelude::*;
use rustix::time::{ClockId, clock_gettime};

/// Measures the time since the host's start, including time during which the machine was suspended.
///
/// With a monotonic clock that stops during a suspension, a host would continue to rely on a lease
/// or proof that expired in the meantime.
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

    /// Returns the current time.
    pub(crate) fn now(&self) -> Monotonic {
        since_boot().saturating_sub(self.started_at)
    }
}

fn since_boot() -> Duration {
    let time = clock_gettime(ClockId::Boottime);
    // The clock starts from zero when the machine boots, so neither part is negative.
    let seconds = u64::try_from(time.tv_sec).unwrap_or(0);
    let nanoseconds = u32::try_from(time.tv_nsec).unwrap_or(0);
    Duration::new(seconds, nanoseconds)
}
