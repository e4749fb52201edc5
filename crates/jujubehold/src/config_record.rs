//! The record of one service in the platform's key-value service.

use jujubehold_core::prelude::*;
use jujubehold_settings::{IniFaults, format_service, parse_service};
use jujubehold_wire::kv::KeyValue;

/// The change ID that is recorded as the predecessor of a service's first change, and that stands
/// for both IDs of a record that states none.
pub(crate) const NO_CHANGE_ID: &str = "none";
const CHANGE_PREFIX: &str = "; change = ";
const PREVIOUS_CHANGE_SEPARATOR: &str = " after ";

/// A service's configuration as it is stored in the platform's key-value service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRecord {
    /// The configuration.
    pub config: ServiceConfig,
    /// The revision of the key's last change; 0 if the key does not exist.
    pub mod_revision: i64,
    /// The ID of the change that wrote the record.
    pub change_id: String,
    /// The ID of the previous change.
    pub previous_change_id: String,
}

impl ConfigRecord {
    /// Returns the record of a service that does not exist.
    pub(crate) fn absent(service: &ServiceId) -> Self {
        Self {
            config: ServiceConfig {
                service: service.clone(),
                ..ServiceConfig::default()
            },
            mod_revision: 0,
            change_id: NO_CHANGE_ID.into(),
            previous_change_id: NO_CHANGE_ID.into(),
        }
    }
}

/// Formats a record, with the IDs of its change and of the previous change.
pub(crate) fn format_record(
    config: &ServiceConfig,
    change_id: &str,
    previous_change_id: &str,
) -> String {
    format!(
        "{CHANGE_PREFIX}{change_id}{PREVIOUS_CHANGE_SEPARATOR}{previous_change_id}\n{}",
        format_service(config)
    )
}

/// Parses a record from a stored key and its value.
pub(crate) fn parse_record(value: &KeyValue) -> Result<ConfigRecord, IniFaults> {
    let text = String::from_utf8_lossy(&value.value);
    let config = parse_service(&String::from_utf8_lossy(&value.key), &text)?;
    let change_ids = text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix(CHANGE_PREFIX))
        .and_then(|line| line.split_once(PREVIOUS_CHANGE_SEPARATOR));
    let (change_id, previous_change_id) = change_ids.unwrap_or((NO_CHANGE_ID, NO_CHANGE_ID));
    Ok(ConfigRecord {
        config,
        mod_revision: value.mod_revision,
        change_id: change_id.to_owned(),
        previous_change_id: previous_change_id.to_owned(),
    })
}
