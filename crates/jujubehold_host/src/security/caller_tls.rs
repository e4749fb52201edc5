//! TLS for callers' connections.

use std::path::Path;
use std::sync::Arc;

use jujubehold_settings::TlsSettings;
use rustls::ServerConfig;
use rustls::pki_types::pem::PemObject;
use rustls::pki_types::{CertificateDer, PrivateKeyDer};
use tokio::net::TcpStream;
use tokio_rustls::TlsAcceptor;

use crate::security::caller_stream::CallerStream;
use crate::security::security_error::SecurityError;

/// The host's TLS identity towards callers. Callers need no certificate; they authenticate with a
/// password.
#[derive(Clone)]
pub struct CallerTls {
    acceptor: TlsAcceptor,
}

impl std::fmt::Debug for CallerTls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("CallerTls").finish_non_exhaustive()
    }
}

impl CallerTls {
    /// Loads the identity from its files.
    ///
    /// # Errors
    /// Returns an error if a file can't be read, or if the certificate and the key don't match.
    pub fn load(settings: &TlsSettings) -> Result<Self, SecurityError> {
        let certificates = read_certificates(&settings.certificate_file)?;
        let key = read_key(&settings.key_file)?;
        let provider = Arc::new(rustls::crypto::ring::default_provider());
        let config = ServerConfig::builder_with_provider(provider)
            .with_safe_default_protocol_versions()?
            .with_no_client_auth()
            .with_single_cert(certificates, key)?;
        Ok(Self {
            acceptor: Arc::new(config).into(),
        })
    }

    /// Performs the TLS handshake on `stream`, after the caller's request for TLS was read from it.
    ///
    /// # Errors
    /// Returns an error if the connection or the handshake fails.
    pub async fn accept(&self, stream: TcpStream) -> std::io::Result<CallerStream> {
        let stream = self.acceptor.accept(stream).await?;
        Ok(CallerStream::Tls(Box::new(stream)))
    }
}

fn read_certificates(file: &Path) -> Result<Vec<CertificateDer<'static>>, SecurityError> {
    let pem = read(file)?;
    let certificates: Vec<_> = CertificateDer::pem_slice_iter(&pem)
        .collect::<Result<_, _>>()
        .unwrap_or_default();
    if certificates.is_empty() {
        return Err(missing_pem(file, "certificate"));
    }
    Ok(certificates)
}

fn read_key(file: &Path) -> Result<PrivateKeyDer<'static>, SecurityError> {
    PrivateKeyDer::from_pem_slice(&read(file)?).map_err(|_| missing_pem(file, "private key"))
}

/// Reads a file of a TLS identity.
pub(crate) fn read(file: &Path) -> Result<Vec<u8>, SecurityError> {
    std::fs::read(file).map_err(|source| SecurityError::File {
        file: file.to_owned(),
        source,
    })
}

fn missing_pem(file: &Path, expected: &'static str) -> SecurityError {
    SecurityError::Pem {
        file: file.to_owned(),
        expected,
    }
}
