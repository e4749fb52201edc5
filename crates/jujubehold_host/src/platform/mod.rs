//! Access to the platform's key-value service: configurations, the list of hosts and group records.

mod config_watch;
mod group_record;
mod host_list;
mod kv_client;

pub use config_watch::{SERVICES_PREFIX, service_key};
pub use group_record::GroupRecord;
pub use host_list::{HOSTS_PREFIX, parse_host};
pub use kv_client::{KvClient, KvError};

pub(crate) use config_watch::{config_record, watch_platform};
