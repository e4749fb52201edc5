//! The platform's key-value service: the part of etcd's v3 protocol that the product calls, kept
//! in memory, with faults that may be set while it runs.

mod control;
mod faults;
mod handle;
mod kv_service;
mod lease_service;
mod services;
mod settings;
mod shared;
mod store;
mod watch_service;

pub use faults::{CallKind, Outage};
pub use handle::{Platform, run_platform};
pub use settings::PlatformSettings;
