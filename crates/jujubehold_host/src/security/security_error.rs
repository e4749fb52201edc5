//! The errors of loading a host's TLS identity.

use std::path::PathBuf;

use thiserror::Error;

/// An error in the files that the `[tls]` section names.
#[derive(Debug, Error)]
pub enum SecurityError {
    /// A file can't be read.
    #[error("{}: the file can't be read: {source}", file.display())]
    File {
        /// The file.
        file: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// A file does not contain the expected kind of PEM section.
    #[error("{}: the file holds no {expected} in PEM", file.display())]
    Pem {
        /// The file.
        file: PathBuf,
        /// The expected kind of PEM section.
        expected: &'static str,
    },
    /// The certificate, the key and the authority don't match.
    #[error("the TLS identity can't be used: {0}")]
    Identity(#[from] rustls::Error),
}
