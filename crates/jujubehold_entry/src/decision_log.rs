//! The rate limit of log lines about requests.
//!
//! Each decision that affects a request is logged until the budget of the current second is used
//! up. Further lines are only counted, and the count is logged, so that logging adds no work under
//! overload. See docs/OPERATIONS.md.

use std::cell::Cell;

use jujubehold_core::prelude::*;
use log::info;
use metrics::counter;

use crate::metric_names::LOG_LINES_LEFT_OUT;

/// The budget of log lines per second.
#[derive(Debug)]
pub(crate) struct DecisionLog {
    lines_per_second: u32,
    second: Cell<u64>,
    written: Cell<u32>,
    left_out: Cell<u32>,
}

impl DecisionLog {
    pub(crate) fn new(lines_per_second: u32) -> Self {
        Self {
            lines_per_second,
            second: Cell::new(0),
            written: Cell::new(0),
            left_out: Cell::new(0),
        }
    }

    /// Returns whether a line may be written at `now`, and counts it as written or left out.
    pub(crate) fn allows(&self, now: Monotonic) -> bool {
        if now.as_secs() != self.second.get() {
            self.begin_second(now.as_secs());
        }
        if self.written.get() < self.lines_per_second {
            self.written.set(self.written.get() + 1);
            return true;
        }
        self.left_out.set(self.left_out.get() + 1);
        counter!(LOG_LINES_LEFT_OUT).increment(1);
        false
    }

    fn begin_second(&self, second: u64) {
        self.second.set(second);
        self.written.set(0);
        let left_out = self.left_out.replace(0);
        if left_out > 0 {
            info!(left_out; "log lines were left out because the budget per second was exceeded");
        }
    }
}
