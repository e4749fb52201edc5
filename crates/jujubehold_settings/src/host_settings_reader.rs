//! Parsing and validation of a host's settings.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use crate::address_translation::AddressTranslation;
use crate::host_settings::{DEVELOPMENT_TOKEN_KEY, HostSettings};
use crate::ini_fault::IniFaults;
use crate::ini_reader::IniReader;
use crate::ini_section::IniSection;
use crate::known_keys::{
    ADDRESS_KEYS, FAILOVER_KEYS, HOST_KEYS, HOST_SECTIONS, PEER_KEYS, TLS_KEYS,
};
use crate::peer_seed::PeerSeed;
use crate::tls_settings::TlsSettings;

const MAX_TRAFFIC_THREADS: usize = 64;
const MAX_DRAIN_TIMEOUT_MS: u64 = 600_000;
const MIN_OUTCOME_KEPT_MS: u64 = 1_000;
const MAX_OUTCOME_KEPT_MS: u64 = 31 * 24 * 3_600_000;
/// The lower limit of both the probe interval and the probe timeout.
const MIN_PROBE_MS: u64 = 10;
/// The upper limit of both the probe interval and the probe timeout.
const MAX_PROBE_MS: u64 = 5_000;
const MIN_AUTHORITY_WINDOW_MS: u64 = 50;
/// A promotion waits for the window plus the drift and must complete within 7 s.
const MAX_AUTHORITY_WINDOW_MS: u64 = 3_000;
const MAX_AUTHORITY_DRIFT_MS: u64 = 1_000;
const MAX_LEAVING_GRACE_MS: u64 = 60_000;
const MAX_OWNERS_PER_INSTANCE: usize = 5;
const MIN_TOKEN_KEY_BYTES: usize = 16;

impl HostSettings {
    /// Parses settings from `text`; `file` names its source in faults.
    ///
    /// # Errors
    /// Returns every fault with its section, its key and what to write instead.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniFaults> {
        let mut reader = IniReader::parse(file, text)?;
        let mut settings = Self::default();
        settings.read_host(&mut reader);
        settings.read_failover(&mut reader);
        let has_tls = reader.has_section("tls");
        settings.tls = read_tls(&mut reader);
        settings.peer_seeds = read_peers(&mut reader);
        settings.address_translation = read_address_translation(&mut reader);
        settings.check_combinations(&mut reader, has_tls);
        reader.finish(HOST_SECTIONS)?;
        Ok(settings)
    }

    fn read_host(&mut self, reader: &mut IniReader) {
        let mut section = reader.take_section("host");
        let s = &mut section;
        self.host = reader.name(s, "name").unwrap_or_else(|| self.host.clone());
        self.domain = reader
            .name(s, "domain")
            .unwrap_or_else(|| self.domain.clone());
        self.region = reader
            .name(s, "region")
            .unwrap_or_else(|| self.region.clone());
        self.caller_address = reader
            .address(s, "caller_address")
            .unwrap_or(self.caller_address);
        self.peer_address = reader
            .address(s, "peer_address")
            .unwrap_or(self.peer_address);
        self.metrics_address = reader.address(s, "metrics_address");
        let platform = std::mem::take(&mut self.platform_addresses);
        self.platform_addresses = reader.addresses(s, "platform_addresses", platform);
        if let Some(key) = reader.text(s, "token_key") {
            check_token_key(reader, s, &key);
            self.token_key = key;
        }
        self.traffic_threads = reader.number(
            s,
            "traffic_threads",
            self.traffic_threads,
            1..=MAX_TRAFFIC_THREADS,
        );
        self.drain_timeout = reader.duration_ms_in(
            s,
            "drain_timeout_ms",
            self.drain_timeout,
            0..=MAX_DRAIN_TIMEOUT_MS,
        );
        self.outcome_kept = reader.duration_ms_in(
            s,
            "outcome_kept_ms",
            self.outcome_kept,
            MIN_OUTCOME_KEPT_MS..=MAX_OUTCOME_KEPT_MS,
        );
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
        let mut duration = |key: &str, default: Duration, min_ms: u64, max_ms: u64| {
            reader.duration_ms_in(s, key, default, min_ms..=max_ms)
        };
        self.probe_interval = duration(
            "probe_interval_ms",
            self.probe_interval,
            MIN_PROBE_MS,
            MAX_PROBE_MS,
        );
        self.probe_timeout = duration(
            "probe_timeout_ms",
            self.probe_timeout,
            MIN_PROBE_MS,
            MAX_PROBE_MS,
        );
        self.authority.window = duration(
            "window_ms",
            self.authority.window,
            MIN_AUTHORITY_WINDOW_MS,
            MAX_AUTHORITY_WINDOW_MS,
        );
        self.authority.drift =
            duration("drift_ms", self.authority.drift, 0, MAX_AUTHORITY_DRIFT_MS);
        self.leaving_grace = duration(
            "leaving_grace_ms",
            self.leaving_grace,
            0,
            MAX_LEAVING_GRACE_MS,
        );
        self.owners_per_instance = reader.number(
            s,
            "owners_per_instance",
            self.owners_per_instance,
            1..=MAX_OWNERS_PER_INSTANCE,
        );
        reader.finish_section(section, FAILOVER_KEYS);
    }

    /// Checks rules that involve several keys.
    fn check_combinations(&self, reader: &mut IniReader, has_tls: bool) {
        if self.caller_address == self.peer_address {
            let problem = format!(
                "callers and hosts have the same address {}",
                self.peer_address
            );
            reader.fault("host", "peer_address", &problem, "write another port");
        }
        let is_exposed = [self.caller_address, self.peer_address]
            .iter()
            .any(|address| !address.ip().is_loopback());
        if is_exposed && !has_tls && !self.is_cleartext_allowed {
            reader.fault(
                "tls",
                "",
                "the host listens on an address other than loopback, and there is no [tls] section",
                "write one, or allow_cleartext = true in [host]",
            );
        }
        if is_exposed && self.token_key == DEVELOPMENT_TOKEN_KEY {
            reader.fault(
                "host",
                "token_key",
                "the host listens on an address other than loopback with the development key",
                "write a secret of 16 bytes or more, the same on every host",
            );
        }
    }
}

fn check_token_key(reader: &mut IniReader, section: &IniSection, key: &str) {
    if key.len() < MIN_TOKEN_KEY_BYTES {
        let problem = format!("the key has {} bytes", key.len());
        let advice = format!("write {MIN_TOKEN_KEY_BYTES} bytes or more");
        reader.fault_in(section, "token_key", &problem, &advice);
    }
}

fn read_tls(reader: &mut IniReader) -> Option<TlsSettings> {
    let mut section = reader.take_section("tls");
    let is_present = section.is_present();
    let mut file = |key: &str| {
        let text = reader.text(&mut section, key);
        if is_present && text.is_none() {
            reader.fault_in(
                &section,
                key,
                "the key is missing",
                "write the path of a PEM file",
            );
        }
        text.map(|text| PathBuf::from(text.as_str()))
    };
    let certificate_file = file("certificate_file");
    let key_file = file("key_file");
    let authority_file = file("authority_file");
    reader.finish_section(section, TLS_KEYS);
    Some(TlsSettings {
        certificate_file: certificate_file?,
        key_file: key_file?,
        authority_file: authority_file?,
    })
}

fn read_peers(reader: &mut IniReader) -> Vec<PeerSeed> {
    let mut seeds = Vec::new();
    for (host, mut section) in reader.take_sections_of_kind("peer") {
        reader.check_section_name(&section, &host);
        let domain = required(reader, &mut section, "domain", IniReader::name);
        let peer_address: Option<SocketAddr> =
            required(reader, &mut section, "peer_address", IniReader::address);
        reader.finish_section(section, PEER_KEYS);
        if let (Some(domain), Some(peer_address)) = (domain, peer_address) {
            seeds.push(PeerSeed {
                host,
                domain,
                peer_address,
            });
        }
    }
    seeds
}

fn read_address_translation(reader: &mut IniReader) -> AddressTranslation {
    let mut translation = AddressTranslation::default();
    for (name, mut section) in reader.take_sections_of_kind("address") {
        let address = name.parse::<SocketAddr>().ok();
        if address.is_none() {
            let problem = format!("{name:?} is not an address");
            let advice = "write [address IP:PORT], such as [address 127.0.0.1:6433]";
            reader.fault_in(&section, "", &problem, advice);
        }
        let reached_at = required(reader, &mut section, "reached_at", IniReader::address);
        reader.finish_section(section, ADDRESS_KEYS);
        if let (Some(address), Some(reached_at)) = (address, reached_at) {
            translation.add(address, reached_at);
        }
    }
    translation
}

/// Reads a key with `read` and adds a fault if the key is missing.
pub(crate) fn required<T>(
    reader: &mut IniReader,
    section: &mut IniSection,
    key: &str,
    read: impl Fn(&mut IniReader, &mut IniSection, &str) -> Option<T>,
) -> Option<T> {
    if !section.has(key) {
        reader.fault_in(
            section,
            key,
            "the key is missing",
            &format!("write {key} = ..."),
        );
    }
    read(reader, section, key)
}
