//! The messages that leave a process: the platform's key-value protocol and the protocol between
//! hosts.
//!
//! `cargo run -p jujubehold_codegen` generates the code under `generated` from the files in
//! `proto`; its output is committed. This crate contains no logic.

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
