//! One service's record in the platform's key-value service.

use jujubehold_core::prelude::*;
use jujubehold_settings::{IniFaults, format_service, parse_service};
use jujubehold_wire::kv::KeyValue;

/// The name that stands for the change before a service's first.
pub(crate) const NO_CHANGE: &str = "none";
const CHANGE_MARK: &str = "; change = ";
const AFTER_MARK: &str = " after ";

/// A service's configuration as it stands in the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRecord {
    /// The configuration.
    pub config: ServiceConfig,
    /// The revision of the key at its last change; 0 when the key is not there.
    pub mod_revision: i64,
    /// The name of the change that wrote it.
    pub change: String,
    /// The name of the change before that one.
    pub previous_change: String,
}

impl ConfigRecord {
    /// The record of a service that is not there.
    pub(crate) fn absent(service: &ServiceId) -> Self {
        Self {
            config: ServiceConfig {
                service: service.clone(),
                ..ServiceConfig::default()
            },
            mod_revision: 0,
            change: NO_CHANGE.into(),
            previous_change: NO_CHANGE.into(),
        }
    }
}

/// The text of a record, with the name of its change and of the one before.
pub(crate) fn format_record(config: &ServiceConfig, change: &str, previous: &str) -> String {
    format!(
        "{CHANGE_MARK}{change}{AFTER_MARK}{previous}\n{}",
        format_service(config)
    )
}

/// Reads a record from the key that holds it.
pub(crate) fn parse_record(value: &KeyValue) -> Result<ConfigRecord, IniFaults> {
    let text = String::from_utf8_lossy(&value.value);
    let config = parse_service(&String::from_utf8_lossy(&value.key), &text)?;
    let names = text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix(CHANGE_MARK))
        .and_then(|line| line.split_once(AFTER_MARK));
    let (change, previous_change) = names.unwrap_or((NO_CHANGE, NO_CHANGE));
    Ok(ConfigRecord {
        config,
        mod_revision: value.mod_revision,
        change: change.to_owned(),
        previous_change: previous_change.to_owned(),
    })
}
