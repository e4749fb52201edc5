//! What buckets start with after their hosts have been restarted.
//!
//! The load that this addresses: all hosts are killed at the same moment. The tokens of the buckets
//! are lost with them, and the callers that could not be served come back at once. What the bound
//! leaves beside the burst and the rate is granted when a share is leased for the first time by a
//! new process, unless the host's earlier process ended before it had run for
//! [`min_process_age`]. So no window contains two start credits of the same share.

use std::time::Duration;

use super::bound::{QuotaBound, TOKEN_LIFETIME};
use super::share::Share;
use crate::ids::Monotonic;
use crate::key_type;

/// How long after its start a process leases its share with a start credit.
pub(super) const MAX_CREDIT_AGE: Duration = Duration::from_secs(2);
/// How long a keeper may use the credits of the shares that are leased to it.
const CREDIT_LIFETIME: Duration = Duration::from_secs(2);

/// Returns how long a process has to run until the next process of the same host may lease its
/// share with a start credit.
pub fn min_process_age(bound: &QuotaBound) -> Duration {
    MAX_CREDIT_AGE + CREDIT_LIFETIME + bound.window + TOKEN_LIFETIME
}

key_type! {
    /// The start credits that a keeper may use.
    #[derive(Default)]
    pub struct StartCredit {
        /// The number of the period in which they are used.
        period: u64,
        share: Share,
        until: Monotonic,
    }
}

impl StartCredit {
    /// Adds the credit of `share`.
    pub(super) fn add(&mut self, now: Monotonic, share: Share) {
        if self.share.is_nothing() {
            self.until = now + CREDIT_LIFETIME;
        }
        self.share = self.share.plus(share);
    }

    /// Ends the period if its time is over. Returns whether credits ended.
    pub(super) fn advance(&mut self, now: Monotonic) -> bool {
        let is_over = !self.share.is_nothing() && now >= self.until;
        if is_over {
            self.end();
        }
        is_over
    }

    /// Ends the period.
    pub(super) fn end(&mut self) {
        self.period += 1;
        self.share = Share::default();
    }

    /// Returns the shares with a credit in this period.
    pub(super) fn share(self) -> Share {
        self.share
    }

    /// Returns the shares with a credit that were added since `earlier`.
    pub(super) fn since(self, earlier: Self) -> Share {
        if earlier.period == self.period {
            self.share.minus(earlier.share)
        } else {
            self.share
        }
    }
}
