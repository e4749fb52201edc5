//! The delays that the links of an installation add to each message.

use std::time::Duration;

/// One-way delays. The default adds nothing to the delay of loopback.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default)]
pub struct LinkDelays {
    /// Between two failure domains: hosts, instances and replication.
    pub between_domains: Duration,
    /// Between a caller and its host.
    pub to_callers: Duration,
}

impl LinkDelays {
    /// Returns whether no delay is added.
    pub fn is_zero(&self) -> bool {
        self.between_domains.is_zero() && self.to_callers.is_zero()
    }
}
