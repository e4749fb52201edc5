//! A bound on bytes that are kept in memory.

/// A number of bytes in use, with its limit.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ByteBudget {
    used_bytes: usize,
    limit_bytes: usize,
}

impl ByteBudget {
    /// Creates a budget of which nothing is used.
    pub fn new(limit_bytes: usize) -> Self {
        Self {
            used_bytes: 0,
            limit_bytes,
        }
    }

    /// Returns how many bytes are in use.
    pub fn used_bytes(&self) -> usize {
        self.used_bytes
    }

    /// Counts something of `later_bytes` in place of something of `earlier_bytes`. Returns `false`,
    /// and changes nothing, if that exceeds the limit. Something shorter always takes the place of
    /// something longer.
    pub fn replace(&mut self, earlier_bytes: usize, later_bytes: usize) -> bool {
        let used_bytes = self.used_bytes.saturating_sub(earlier_bytes) + later_bytes;
        if later_bytes > earlier_bytes && used_bytes > self.limit_bytes {
            return false;
        }
        self.used_bytes = used_bytes;
        true
    }

    /// Stops counting something of `bytes`.
    pub fn release(&mut self, bytes: usize) {
        self.used_bytes = self.used_bytes.saturating_sub(bytes);
    }
}
