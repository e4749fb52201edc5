//! Mutual TLS between hosts.

use jujubehold_core::prelude::*;
use jujubehold_settings::TlsSettings;
use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

use crate::security::caller_tls::{CallerTls, read};
use crate::security::security_error::SecurityError;

/// The host's TLS identity towards other hosts, each of which must present a certificate of the
/// installation's authority.
#[derive(Clone)]
pub struct PeerTls {
    identity: Identity,
    authority: Certificate,
}

impl std::fmt::Debug for PeerTls {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PeerTls").finish_non_exhaustive()
    }
}

impl PeerTls {
    /// Loads the identity from its files.
    ///
    /// # Errors
    /// Returns an error if a file can't be read, or if the certificate and the key don't match.
    pub fn load(settings: &TlsSettings) -> Result<Self, SecurityError> {
        // tonic does not validate the files here; loading them as for callers reports their errors
        // at the start.
        CallerTls::load(settings)?;
        Ok(Self {
            identity: Identity::from_pem(
                read(&settings.certificate_file)?,
                read(&settings.key_file)?,
            ),
            authority: Certificate::from_pem(read(&settings.authority_file)?),
        })
    }

    /// Returns the configuration for accepting calls, which requires a certificate of the
    /// authority.
    pub fn server_config(&self) -> ServerTlsConfig {
        ServerTlsConfig::new()
            .identity(self.identity.clone())
            .client_ca_root(self.authority.clone())
    }

    /// Returns the configuration for calling `host`, whose certificate must contain its name as a
    /// DNS name.
    pub fn client_config(&self, host: &HostId) -> ClientTlsConfig {
        ClientTlsConfig::new()
            .domain_name(host.as_str())
            .ca_certificate(self.authority.clone())
            .identity(self.identity.clone())
    }
}
