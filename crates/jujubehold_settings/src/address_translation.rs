//! Addresses that a host reaches under another one.

use std::collections::BTreeMap;
use std::net::SocketAddr;

/// Where this host connects in place of an address that others name.
///
/// A host behind a network that translates addresses, or beside a tunnel, does not reach the
/// others' addresses as configurations and host lists name them. The translation is applied where
/// a connection or a datagram leaves, so that what a host tells others stays untranslated. See
/// docs/CONFIGURATION.md.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct AddressTranslation {
    reached_at: BTreeMap<SocketAddr, SocketAddr>,
}

impl AddressTranslation {
    /// Reaches `address` at `reached_at` from now on.
    pub fn add(&mut self, address: SocketAddr, reached_at: SocketAddr) {
        self.reached_at.insert(address, reached_at);
    }

    /// Whether every address is reached as it is named.
    pub fn is_empty(&self) -> bool {
        self.reached_at.is_empty()
    }

    /// Where to connect for `address`.
    pub fn translate(&self, address: SocketAddr) -> SocketAddr {
        self.reached_at.get(&address).copied().unwrap_or(address)
    }
}
