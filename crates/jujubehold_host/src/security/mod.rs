//! Authentication and encryption of callers' and hosts' connections.
//!
//! Callers authenticate with SCRAM-SHA-256 and may request TLS; hosts use mutual TLS with each
//! other. The identity files are read once, when the host starts. See docs/notes/security.md.

mod caller_stream;
mod caller_tls;
mod login;
mod peer_tls;
mod security_error;

pub use caller_stream::{CallerReadHalf, CallerStream, CallerWriteHalf};
pub use caller_tls::CallerTls;
pub use login::{LoginError, log_in};
pub use peer_tls::PeerTls;
pub use security_error::SecurityError;
