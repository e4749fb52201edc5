//! Settings of a host, and the configuration of services, both in INI.
//!
//! Settings belong to one process and are read once at its start; configuration belongs to the
//! operators, lives in the platform's service and changes while hosts run. Both are checked whole,
//! and every fault is named together with its place. See docs/CONFIGURATION.md.

mod host_settings;
mod ini_fault;
mod ini_reader;
mod service_text;

pub use host_settings::{HostSettings, PeerSeed};
pub use ini_fault::{IniFault, IniFaults};
pub use ini_reader::{IniReader, IniSection};
pub use service_text::{format_service, parse_service};
