//! A stand-in for the users' platform, on which entry hosts run: its store, database instances,
//! operators' configuration and promotion call, with the documented wire protocols.
//!
//! All parts of an installation run on the current actix system and share one state, so that tests
//! can inspect it and inject faults. See docs/notes/platform-stand-in.md.

mod control;
mod faults;
mod group;
mod handle;
mod http;
mod instance;
mod instance_message;
mod instance_server;
mod kv_state;
mod run;
mod store_endpoint;
mod store_server;
mod thin_link;

pub use faults::{InstanceFaults, StoreFaults};
pub use group::{ExecutedStatement, Group, PreparedRun};
pub use handle::{InstanceSpec, THREE_INSTANCES, UsersPlatformHandle};
pub use instance::Instance;
pub use kv_state::StoreCopy;
pub use run::{UsersPlatformSettings, run_users_platform};
pub use store_endpoint::StoreEndpoint;
pub use thin_link::ThinLink;
