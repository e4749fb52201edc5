//! A stand-in of the users' platform: its store, its instances, its operator and its promotion call,
//! over the wire as their pages say.
//!
//! Everything of one installation runs on the present actix system and shares one state, so that a
//! test may look at it and bring faults about. See docs/notes/platform-stand-in.md.

mod faults;
mod group;
mod handle;
mod http;
mod instance;
mod instance_server;
mod kv_state;
mod store_endpoint;
mod store_server;

pub use faults::{InstanceFaults, StoreFaults};
pub use group::{ExecutedStatement, Group};
pub use handle::{InstanceSpec, UsersPlatformHandle};
pub use instance::Instance;
pub use store_endpoint::StoreEndpoint;
