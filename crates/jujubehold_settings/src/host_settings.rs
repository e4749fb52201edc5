//! The settings of one host.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::authority::Authority;
use jujubehold_core::prelude::*;
use smol_str::SmolStr;

use crate::ini_fault::IniFaults;
use crate::ini_reader::IniReader;

/// What one host learns from its settings file. `Default` gives a host that works on loopback.
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
    /// The key that signs session tokens, the same on every host.
    pub token_key: SmolStr,
    /// How many threads carry traffic.
    pub traffic_threads: usize,
    /// How long a shutdown waits for what runs.
    pub drain_timeout: Duration,
    /// How often each watched instance is probed when traffic proves nothing.
    pub probe_interval: Duration,
    /// How long a probe may take.
    pub probe_timeout: Duration,
    /// The window in which a proof of a term lets this host acknowledge writes.
    pub authority: Authority,
    /// How many hosts of an instance's failure domain own its connections.
    pub owners_per_instance: usize,
    /// Whether the host may listen off loopback without TLS.
    pub is_cleartext_allowed: bool,
}

/// A host to ask first.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PeerSeed {
    /// Its name.
    pub host: HostId,
    /// Its failure domain.
    pub domain: DomainId,
    /// Where it takes other hosts' calls.
    pub peer_address: SocketAddr,
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
            token_key: "jujubehold-development-key".into(),
            traffic_threads: 4,
            drain_timeout: Duration::from_secs(30),
            probe_interval: Duration::from_millis(200),
            probe_timeout: Duration::from_millis(300),
            authority: Authority::default(),
            owners_per_instance: 2,
            is_cleartext_allowed: false,
        }
    }
}

const HOST_KEYS: &[&str] = &[
    "name",
    "domain",
    "region",
    "caller_address",
    "peer_address",
    "metrics_address",
    "platform_addresses",
    "token_key",
    "traffic_threads",
    "drain_timeout_ms",
    "allow_cleartext",
];
const FAILOVER_KEYS: &[&str] = &[
    "probe_interval_ms",
    "probe_timeout_ms",
    "window_ms",
    "drift_ms",
    "owners_per_instance",
];
const PEER_KEYS: &[&str] = &["domain", "peer_address"];
const ADDRESS: &str = "an IP number and a port, such as 127.0.0.1:6432";

impl HostSettings {
    /// Reads settings from `text`, which came from `file`.
    ///
    /// # Errors
    /// Names every fault with its section, its key and what to write instead.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniFaults> {
        let mut reader = IniReader::parse(file, text)?;
        let mut settings = Self::default();
        settings.read_host(&mut reader);
        settings.read_failover(&mut reader);
        settings.read_peers(&mut reader);
        reader.finish(&["host", "failover", "peer NAME"])?;
        Ok(settings)
    }

    fn read_host(&mut self, reader: &mut IniReader) {
        let mut section = reader.take_section("host");
        let s = &mut section;
        self.host = reader.text(s, "name").unwrap_or_else(|| self.host.clone());
        self.domain = reader
            .text(s, "domain")
            .unwrap_or_else(|| self.domain.clone());
        self.region = reader
            .text(s, "region")
            .unwrap_or_else(|| self.region.clone());
        self.caller_address = reader.value(s, "caller_address", self.caller_address, ADDRESS);
        self.peer_address = reader.value(s, "peer_address", self.peer_address, ADDRESS);
        if let Some(text) = reader.text(s, "metrics_address") {
            match text.parse() {
                Ok(address) => self.metrics_address = Some(address),
                Err(_) => reader.fault(
                    "host",
                    "metrics_address",
                    &format!("{text:?} is not {ADDRESS}"),
                    &format!("write {ADDRESS}"),
                ),
            }
        }
        if let Some(text) = reader.text(s, "platform_addresses") {
            self.platform_addresses.clear();
            for part in text
                .split(',')
                .map(str::trim)
                .filter(|part| !part.is_empty())
            {
                match part.parse() {
                    Ok(address) => self.platform_addresses.push(address),
                    Err(_) => reader.fault(
                        "host",
                        "platform_addresses",
                        &format!("{part:?} is not {ADDRESS}"),
                        "write addresses with commas between them",
                    ),
                }
            }
        }
        self.token_key = reader
            .text(s, "token_key")
            .unwrap_or_else(|| self.token_key.clone());
        self.traffic_threads = reader.value(
            s,
            "traffic_threads",
            self.traffic_threads,
            "a whole number above 0",
        );
        self.drain_timeout = reader.duration_ms(s, "drain_timeout_ms", self.drain_timeout);
        self.is_cleartext_allowed = reader.value(
            s,
            "allow_cleartext",
            self.is_cleartext_allowed,
            "true or false",
        );
        reader.finish_section(section, HOST_KEYS);
    }

    fn read_failover(&mut self, reader: &mut IniReader) {
        let mut section = reader.take_section("failover");
        let s = &mut section;
        self.probe_interval = reader.duration_ms(s, "probe_interval_ms", self.probe_interval);
        self.probe_timeout = reader.duration_ms(s, "probe_timeout_ms", self.probe_timeout);
        self.authority.window = reader.duration_ms(s, "window_ms", self.authority.window);
        self.authority.drift = reader.duration_ms(s, "drift_ms", self.authority.drift);
        self.owners_per_instance = reader.value(
            s,
            "owners_per_instance",
            self.owners_per_instance,
            "a whole number",
        );
        reader.finish_section(section, FAILOVER_KEYS);
    }

    fn read_peers(&mut self, reader: &mut IniReader) {
        for (host, mut section) in reader.take_kind("peer") {
            let domain = reader.text(&mut section, "domain").unwrap_or_default();
            let unset = SocketAddr::from(([0, 0, 0, 0], 0));
            let peer_address = reader.value(&mut section, "peer_address", unset, ADDRESS);
            if domain.is_empty() || peer_address == unset {
                let name = section.name.clone();
                reader.fault(
                    &name,
                    "",
                    "a peer lacks a key",
                    "write domain and peer_address",
                );
            }
            self.peer_seeds.push(PeerSeed {
                host,
                domain,
                peer_address,
            });
            reader.finish_section(section, PEER_KEYS);
        }
    }
}
