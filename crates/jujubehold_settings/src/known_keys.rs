//! All sections and keys that settings files and service configurations can have.
//!
//! The readers report keys that are missing from these lists as unknown, and a test compares
//! docs/CONFIGURATION.md with them.

/// The sections of a host's settings.
pub(crate) const HOST_SECTIONS: &[&str] =
    &["host", "failover", "tls", "peer NAME", "address IP:PORT"];

/// Keys of a settings file's `[host]` section.
pub(crate) const HOST_KEYS: &[&str] = &[
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
    "outcome_kept_ms",
    "allow_cleartext",
];

/// Keys of a settings file's `[failover]` section.
pub(crate) const FAILOVER_KEYS: &[&str] = &[
    "probe_interval_ms",
    "probe_timeout_ms",
    "window_ms",
    "drift_ms",
    "leaving_grace_ms",
    "owners_per_instance",
];

/// Keys of a settings file's `[tls]` section.
pub(crate) const TLS_KEYS: &[&str] = &["certificate_file", "key_file", "authority_file"];

/// Keys of a settings file's `[peer NAME]` sections.
pub(crate) const PEER_KEYS: &[&str] = &["domain", "peer_address"];

/// Keys of a settings file's `[address IP:PORT]` sections.
pub(crate) const ADDRESS_KEYS: &[&str] = &["reached_at"];

/// The sections of the settings of an entry host on a platform.
pub(crate) const ENTRY_SECTIONS: &[&str] = &["entry"];

/// Keys of an entry host's `[entry]` section.
pub(crate) const ENTRY_KEYS: &[&str] = &[
    "name",
    "domain",
    "caller_address",
    "readiness_address",
    "peer_address",
    "metrics_address",
    "store_address",
    "promotion_address",
    "drain_timeout_s",
    "membership_lease_ms",
    "first_start",
    "log_lines_per_second",
    "expects_quotas",
    "quota_window_s",
    "quota_excess",
    "quota_slack",
];

/// The sections of a service's configuration.
pub(crate) const SERVICE_SECTIONS: &[&str] = &["service", "instance NAME", "callers"];

/// Keys of a configuration's `[service]` section.
pub(crate) const SERVICE_KEYS: &[&str] = &[
    "name",
    "generation",
    "confirm",
    "read_age_ms",
    "slots",
    "queue",
    "statement_timeout_ms",
    "preferred_primary",
];

/// Keys of a configuration's `[instance NAME]` sections.
pub(crate) const INSTANCE_KEYS: &[&str] = &["address", "domain", "region", "state", "connections"];

/// Returns the sections that have a fixed set of keys, with those keys.
pub fn known_keys() -> Vec<(&'static str, &'static [&'static str])> {
    vec![
        ("host", HOST_KEYS),
        ("failover", FAILOVER_KEYS),
        ("tls", TLS_KEYS),
        ("peer NAME", PEER_KEYS),
        ("address IP:PORT", ADDRESS_KEYS),
        ("entry", ENTRY_KEYS),
        ("service", SERVICE_KEYS),
        ("instance NAME", INSTANCE_KEYS),
    ]
}
