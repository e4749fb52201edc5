//! Why a host's TLS identity can't be used.

use std::path::PathBuf;

use thiserror::Error;

/// A fault in the files that the `[tls]` section names.
#[derive(Debug, Error)]
pub enum SecurityError {
    /// A file can't be read.
    #[error("{}: the file can't be read: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// The system's error.
        source: std::io::Error,
    },
    /// A file holds no PEM of the kind that it should.
    #[error("{}: the file holds no {expected} in PEM", file.display())]
    Pem {
        /// The file.
        file: PathBuf,
        /// What it should hold.
        expected: &'static str,
    },
    /// Certificate, key and authority don't fit each other.
    #[error("the TLS identity can't be used: {0}")]
    Identity(#[from] rustls::Error),
}
