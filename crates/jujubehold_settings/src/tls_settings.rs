//! The files of a host's TLS identity.

use std::path::PathBuf;

/// The files from which a host reads its TLS identity, once when it starts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TlsSettings {
    /// The certificate chain that the host presents to callers and to other hosts, in PEM.
    pub certificate_file: PathBuf,
    /// The private key of that certificate, in PEM.
    pub key_file: PathBuf,
    /// The certificate authorities that signed the other hosts' certificates, in PEM.
    pub authority_file: PathBuf,
}
