//! The quota of one customer.

use crate::key_type;

key_type! {
    /// How many operations a customer may start: `burst` at once, and `rate_per_1000_s` in each
    /// 1,000 seconds.
    pub struct QuotaLimit {
        /// The rate. It is counted for 1,000 seconds so that fractions of an operation per second
        /// are exact.
        pub rate_per_1000_s: u64,
        /// The number of operations that may start at once after a pause.
        pub burst: u32,
    }
}
