//! Messages that leave a process: the platform's key-value protocol and the protocol between
//! hosts.
//!
//! The code under `generated` is written by `cargo run -p jujubehold_codegen` from the files in
//! `proto` and committed. Nothing here decides anything.

/// The platform's key-value, lease and watch calls.
#[path = "generated/etcdserverpb.rs"]
#[allow(missing_docs, clippy::all, clippy::pedantic, unreachable_pub, reason = "generated code")]
#[rustfmt::skip]
pub mod kv;

/// The protocol between hosts.
#[path = "generated/jujubehold.peer.rs"]
#[allow(missing_docs, clippy::all, clippy::pedantic, unreachable_pub, reason = "generated code")]
#[rustfmt::skip]
pub mod peer;
