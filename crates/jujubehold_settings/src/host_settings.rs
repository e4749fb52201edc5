//! The settings of one host.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::authority::Authority;
use jujubehold_core::prelude::*;
use smol_str::SmolStr;

use crate::address_translation::AddressTranslation;
use crate::peer_seed::PeerSeed;
use crate::tls_settings::TlsSettings;

/// The default key for signing session tokens; accepted only if the host listens on loopback.
pub(crate) const DEVELOPMENT_TOKEN_KEY: &str = "jujubehold-development-key";

/// The settings of one host. `Default` gives a host that listens on loopback.
///
/// `host_settings_reader.rs` parses and validates the settings file.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostSettings {
    /// The host's name, unique in the installation.
    pub host: HostId,
    /// The failure domain that the host is in.
    pub domain: DomainId,
    /// The region of that failure domain.
    pub region: RegionId,
    /// The address at which the host accepts callers.
    pub caller_address: SocketAddr,
    /// The address for other hosts: TCP for calls, UDP for liveness.
    pub peer_address: SocketAddr,
    /// The address of the metrics page; `None` serves no metrics.
    pub metrics_address: Option<SocketAddr>,
    /// The addresses of the platform's key-value service.
    pub platform_addresses: Vec<SocketAddr>,
    /// Hosts to contact before the platform's list of hosts is known.
    pub peer_seeds: Vec<PeerSeed>,
    /// The addresses that this host must replace by others when it connects.
    pub address_translation: AddressTranslation,
    /// The key that signs session tokens; the same on every host.
    pub token_key: SmolStr,
    /// The number of threads that handle traffic.
    pub traffic_threads: usize,
    /// How long a shutdown waits for running work to finish.
    pub drain_timeout: Duration,
    /// How long the upstream keeps the recorded outcome of a named request.
    pub outcome_kept: Duration,
    /// The interval between probes of a watched instance whose traffic does not show that it is
    /// alive.
    pub probe_interval: Duration,
    /// The timeout of a probe.
    pub probe_timeout: Duration,
    /// The time window in which a proof of the term allows this host to acknowledge writes.
    pub authority: Authority,
    /// How long open transactions on a leaving primary may run before they are ended.
    pub leaving_grace: Duration,
    /// The number of hosts in an instance's failure domain that own its connections.
    pub owners_per_instance: usize,
    /// Whether the host may listen without TLS on an address other than loopback.
    pub is_cleartext_allowed: bool,
    /// The host's TLS identity; `None` serves callers and hosts in cleartext.
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
