//! The settings of one host.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::authority::Authority;
use jujubehold_core::prelude::*;
use smol_str::SmolStr;

use crate::address_translation::AddressTranslation;
use crate::peer_seed::PeerSeed;
use crate::tls_settings::TlsSettings;

/// The key that signs session tokens where none is set; taken on loopback only.
pub(crate) const DEVELOPMENT_TOKEN_KEY: &str = "jujubehold-development-key";

/// What one host learns from its settings file. `Default` gives a host that works on loopback.
///
/// How the file is read and checked is in `host_settings_reader.rs`.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// The host's name; unique in the installation.
    pub host: HostId,
    /// The failure domain that the host is in.
    pub domain: DomainId,
    /// The region of that failure domain.
    pub region: RegionId,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where other hosts connect, over TCP for calls and over UDP for liveness.
    pub peer_address: SocketAddr,
    /// Where a scraper reads the metrics page; `None` leaves it out.
    pub metrics_address: Option<SocketAddr>,
    /// The addresses of the platform's key-value service.
    pub platform_addresses: Vec<SocketAddr>,
    /// Hosts to ask first, before the platform's list of hosts is known.
    pub peer_seeds: Vec<PeerSeed>,
    /// The addresses that this host reaches under another one.
    pub address_translation: AddressTranslation,
    /// The key that signs session tokens, the same on every host.
    pub token_key: SmolStr,
    /// How many threads carry traffic.
    pub traffic_threads: usize,
    /// How long a shutdown waits for what runs.
    pub drain_timeout: Duration,
    /// How long the outcome of a named request stays on record in the upstream.
    pub outcome_kept: Duration,
    /// How often each watched instance is probed when traffic proves nothing.
    pub probe_interval: Duration,
    /// How long a probe may take.
    pub probe_timeout: Duration,
    /// The window in which a proof of a term lets this host acknowledge writes.
    pub authority: Authority,
    /// How long open transactions on a leaving primary may take to end.
    pub leaving_grace: Duration,
    /// How many hosts of an instance's failure domain own its connections.
    pub owners_per_instance: usize,
    /// Whether the host may listen off loopback without TLS.
    pub is_cleartext_allowed: bool,
    /// The host's TLS identity; `None` serves callers and hosts in the clear.
    pub tls: Option<TlsSettings>,
}

impl Default for HostSettings {
    fn default() -> Self {
        Self {
            host: "host-1".into(),
            domain: "local".into(),
            region: "local".into(),
            caller_address: SocketAddr::from(([127, 0, 0, 1], 6432)),
            peer_address: SocketAddr::from(([127, 0, 0, 1], 6433)),
            metrics_address: None,
            platform_addresses: vec![SocketAddr::from(([127, 0, 0, 1], 2379))],
            peer_seeds: Vec::new(),
            address_translation: AddressTranslation::default(),
            token_key: DEVELOPMENT_TOKEN_KEY.into(),
            traffic_threads: 4,
            drain_timeout: Duration::from_secs(30),
            outcome_kept: Duration::from_hours(24),
            probe_interval: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(300),
            authority: Authority::default(),
            leaving_grace: Duration::from_secs(2),
            owners_per_instance: 2,
            is_cleartext_allowed: false,
            tls: None,
        }
    }
}
