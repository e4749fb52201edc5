//! The settings of an entry host that runs on a platform.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_core::quota::QuotaBound;

use crate::ini_fault::IniFaults;
use crate::ini_reader::IniReader;
use crate::ini_section::IniSection;
use crate::known_keys::{ENTRY_KEYS, ENTRY_SECTIONS};

const MIN_MEMBERSHIP_LEASE_MS: u64 = 1_000;
const MAX_MEMBERSHIP_LEASE_MS: u64 = 60_000;
const MAX_DRAIN_TIMEOUT_S: f64 = 600.0;
const MAX_LOG_LINES_PER_SECOND: u32 = 10_000;
const MAX_QUOTA_WINDOW_S: f64 = 3_600.0;
const MAX_QUOTA_EXCESS: f64 = 10.0;
const MAX_QUOTA_SLACK: f64 = 1_000_000.0;

/// The settings of one entry host on a platform. See docs/CONFIGURATION.md.
///
/// `Default` gives a host that listens on loopback.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct EntrySettings {
    /// The host's name, unique in the installation.
    pub host: HostId,
    /// The failure domain that the host is in.
    pub domain: DomainId,
    /// The address at which the host accepts callers.
    pub caller_address: SocketAddr,
    /// The address at which the platform checks whether the host accepts new callers.
    pub readiness_address: SocketAddr,
    /// The UDP address at which the host receives datagrams from other hosts.
    pub peer_address: SocketAddr,
    /// The address of the metrics page; `None` serves no metrics.
    pub metrics_address: Option<SocketAddr>,
    /// The address of the platform's store.
    pub store_address: SocketAddr,
    /// The address to which promotion requests are sent.
    pub promotion_address: SocketAddr,
    /// The time in which the process must end after a request to stop.
    pub drain_timeout: Duration,
    /// How long a host stays a member without renewing its membership.
    pub membership_lease: Duration,
    /// Whether the whole system starts for the first time, so that no other host can have run
    /// before.
    pub is_first_start: bool,
    /// The maximum number of log lines per second.
    pub log_lines_per_second: u32,
    /// The bound on the operations of a customer, across all hosts.
    pub quota_bound: QuotaBound,
    /// Whether customers will have quotas, so that the hosts record their names at the first start.
    pub expects_quotas: bool,
}

impl Default for EntrySettings {
    fn default() -> Self {
        let local = |port| SocketAddr::from(([127, 0, 0, 1], port));
        Self {
            host: "host-1".into(),
            domain: "local".into(),
            caller_address: local(6432),
            readiness_address: local(6434),
            peer_address: local(6433),
            metrics_address: None,
            store_address: local(2379),
            promotion_address: local(2380),
            drain_timeout: Duration::from_secs(6),
            membership_lease: Duration::from_secs(3),
            is_first_start: false,
            log_lines_per_second: 50,
            quota_bound: QuotaBound::default(),
            expects_quotas: false,
        }
    }
}

impl EntrySettings {
    /// Parses settings from `text`; `file` names its source in faults.
    ///
    /// # Errors
    /// Returns every fault with its section, its key and what to write instead.
    pub fn parse(file: &str, text: &str) -> Result<Self, IniFaults> {
        let mut reader = IniReader::parse(file, text)?;
        let mut settings = Self::default();
        let mut section = reader.take_section("entry");
        settings.read_names(&mut reader, &mut section);
        settings.read_addresses(&mut reader, &mut section);
        settings.read_durations_and_limits(&mut reader, &mut section);
        settings.read_quota_bound(&mut reader, &mut section);
        reader.finish_section(section, ENTRY_KEYS);
        reader.finish(ENTRY_SECTIONS)?;
        Ok(settings)
    }

    fn read_names(&mut self, reader: &mut IniReader, section: &mut IniSection) {
        if let Some(name) = reader.name(section, "name") {
            self.host = name;
        }
        if let Some(domain) = reader.name(section, "domain") {
            self.domain = domain;
        }
    }

    fn read_addresses(&mut self, reader: &mut IniReader, section: &mut IniSection) {
        let mut read = |key: &str, address: &mut SocketAddr| {
            if let Some(value) = reader.address(section, key) {
                *address = value;
            }
        };
        read("caller_address", &mut self.caller_address);
        read("readiness_address", &mut self.readiness_address);
        read("peer_address", &mut self.peer_address);
        read("store_address", &mut self.store_address);
        read("promotion_address", &mut self.promotion_address);
        self.metrics_address = reader.address(section, "metrics_address");
    }

    fn read_durations_and_limits(&mut self, reader: &mut IniReader, section: &mut IniSection) {
        let drain_timeout_s = reader.value(
            section,
            "drain_timeout_s",
            self.drain_timeout.as_secs_f64(),
            "a number of seconds",
        );
        if (0.0..=MAX_DRAIN_TIMEOUT_S).contains(&drain_timeout_s) {
            self.drain_timeout = Duration::from_secs_f64(drain_timeout_s);
        } else {
            let problem = format!("{drain_timeout_s} is out of range");
            let advice = format!("write a number from 0 to {MAX_DRAIN_TIMEOUT_S}");
            reader.fault_in(section, "drain_timeout_s", &problem, &advice);
        }
        self.membership_lease = reader.duration_ms_in(
            section,
            "membership_lease_ms",
            self.membership_lease,
            MIN_MEMBERSHIP_LEASE_MS..=MAX_MEMBERSHIP_LEASE_MS,
        );
        self.is_first_start =
            reader.value(section, "first_start", self.is_first_start, "true or false");
        self.log_lines_per_second = reader.number(
            section,
            "log_lines_per_second",
            self.log_lines_per_second,
            0..=MAX_LOG_LINES_PER_SECOND,
        );
    }

    fn read_quota_bound(&mut self, reader: &mut IniReader, section: &mut IniSection) {
        self.expects_quotas = reader.value(
            section,
            "expects_quotas",
            self.expects_quotas,
            "true or false",
        );
        let bound = &mut self.quota_bound;
        let mut read = |key: &str, default: f64, max: f64| {
            // The platform renders a placeholder without a value as an empty one.
            if section
                .entries
                .get(key)
                .is_some_and(|value| value.trim().is_empty())
            {
                section.entries.remove(key);
                return default;
            }
            let value = reader.value(section, key, default, "a number");
            if (0.0..=max).contains(&value) {
                return value;
            }
            let problem = format!("{value} is out of range");
            let advice = format!("write a number from 0 to {max}");
            reader.fault_in(section, key, &problem, &advice);
            default
        };
        let window_s = bound.window.as_secs_f64();
        bound.window =
            Duration::from_secs_f64(read("quota_window_s", window_s, MAX_QUOTA_WINDOW_S));
        let excess = f64::from(bound.excess_per_mille) / 1_000.0;
        let excess = read("quota_excess", excess, MAX_QUOTA_EXCESS);
        bound.excess_per_mille = whole(excess * 1_000.0);
        bound.slack = whole(read("quota_slack", f64::from(bound.slack), MAX_QUOTA_SLACK));
    }
}

// Returns the nearest whole number.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "the callers check the range"
)]
fn whole(value: f64) -> u32 {
    value.round() as u32
}
