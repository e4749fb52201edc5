//! The platform's key-value service: an in-memory implementation of the part of etcd's v3 protocol
//! that the proxy uses, with faults that can be set at run time.

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
