//! Replacement of addresses that a host cannot reach as they are published.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A map from published addresses to the addresses at which this host reaches them.
///
/// A host behind network address translation or a tunnel cannot reach other hosts at the addresses
/// in configurations and host lists. The translation is applied only when a connection is opened or
/// a datagram is sent, so the addresses that a host sends to others stay untranslated. See
/// docs/CONFIGURATION.md.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AddressTranslation {
    reached_at: BTreeMap<SocketAddr, SocketAddr>,
}

impl AddressTranslation {
    /// Adds a translation: `address` is reached at `reached_at`.
    pub fn add(&mut self, address: SocketAddr, reached_at: SocketAddr) {
        self.reached_at.insert(address, reached_at);
    }

    /// Returns whether no address is translated.
    pub fn is_empty(&self) -> bool {
        self.reached_at.is_empty()
    }

    /// Returns the address to connect to for `address`.
    pub fn translate(&self, address: SocketAddr) -> SocketAddr {
        self.reached_at.get(&address).copied().unwrap_or(address)
    }
}
