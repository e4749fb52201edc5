//! A token bucket.

use std::time::Duration;

use super::limit::QuotaLimit;
use crate::ids::Monotonic;
use crate::value_type;

/// The parts into which a token is divided, so that one nanosecond at a rate of one token in 1,000
/// seconds adds one part.
const PARTS_PER_TOKEN: u128 = 1_000_000_000_000;

value_type! {
    /// Tokens that accrue at a rate, up to a burst.
    pub struct TokenBucket {
        parts: u128,
        updated_at: Monotonic,
    }
}

impl TokenBucket {
    /// Creates a bucket that contains `tokens` at `now`.
    pub fn new(now: Monotonic, tokens: u32) -> Self {
        Self {
            parts: u128::from(tokens) * PARTS_PER_TOKEN,
            updated_at: now,
        }
    }

    /// Adds the tokens that accrued under `limit` until `now`, and removes those above its burst.
    pub fn refill(&mut self, now: Monotonic, limit: QuotaLimit) {
        let elapsed = now.saturating_sub(self.updated_at);
        let accrued = elapsed
            .as_nanos()
            .saturating_mul(u128::from(limit.rate_per_1000_s));
        let capacity = u128::from(limit.burst) * PARTS_PER_TOKEN;
        self.parts = self.parts.saturating_add(accrued).min(capacity);
        self.updated_at = self.updated_at.max(now);
    }

    /// Removes up to `wanted` whole tokens and returns how many were removed.
    pub fn take(&mut self, wanted: u32) -> u32 {
        let taken = self.tokens().min(wanted);
        self.parts -= u128::from(taken) * PARTS_PER_TOKEN;
        taken
    }

    /// Returns the number of whole tokens.
    pub fn tokens(&self) -> u32 {
        u32::try_from(self.parts / PARTS_PER_TOKEN).unwrap_or(u32::MAX)
    }

    /// Returns the time after the last refill until the bucket contains a whole token.
    pub fn next_token_in(&self, limit: QuotaLimit) -> Duration {
        let missing = PARTS_PER_TOKEN.saturating_sub(self.parts);
        let nanos = missing.div_ceil(u128::from(limit.rate_per_1000_s.max(1)));
        Duration::from_nanos(u64::try_from(nanos).unwrap_or(u64::MAX))
    }
}
