//! The platform's key-value service.

mod kv_client;

pub use kv_client::{KvClient, KvError};
