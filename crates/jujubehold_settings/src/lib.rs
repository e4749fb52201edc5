//! Host settings and service configurations, both in INI format.
//!
//! Settings belong to one process and are read once when it starts. Service configurations are
//! maintained by operators, stored in the platform's key-value service, and change while hosts run.
//! Both are checked completely, and all faults are reported together with their places. See
//! docs/CONFIGURATION.md.

mod address_translation;
mod entry_settings;
mod host_settings;
mod host_settings_reader;
mod ini_fault;
mod ini_reader;
mod ini_section;
mod ini_values;
mod known_keys;
mod line_index;
mod nearest_key;
mod peer_seed;
mod service_reader;
mod service_writer;
mod tls_settings;
mod unit_hint;

pub use address_translation::AddressTranslation;
pub use entry_settings::EntrySettings;
pub use host_settings::HostSettings;
pub use ini_fault::{IniFault, IniFaults};
pub use ini_reader::IniReader;
pub use ini_section::IniSection;
pub use known_keys::known_keys;
pub use peer_seed::PeerSeed;
pub use service_reader::parse_service;
pub use service_writer::format_service;
pub use tls_settings::TlsSettings;
