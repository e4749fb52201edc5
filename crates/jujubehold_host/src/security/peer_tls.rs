//! Mutual TLS between hosts.

use jujubehold_core::prelude::*;
use jujubehold_settings::TlsSettings;
use tonic::transport::{Certificate, ClientTlsConfig, Identity, ServerTlsConfig};

use crate::security::caller_tls::{CallerTls, read};
use crate::security::security_error::SecurityError;

/// The host's identity towards other hosts, each of which must show a certificate of the
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
    /// Reads the identity from its files.
    ///
    /// # Errors
    /// A file can't be read, or certificate and key don't fit each other.
    pub fn load(settings: &TlsSettings) -> Result<Self, SecurityError> {
        // tonic takes the files unread; loading them for callers finds their faults at the start.
        CallerTls::load(settings)?;
        Ok(Self {
            identity: Identity::from_pem(
                read(&settings.certificate_file)?,
                read(&settings.key_file)?,
            ),
            authority: Certificate::from_pem(read(&settings.authority_file)?),
        })
    }

    /// How this host takes other hosts' calls: only with a certificate of the authority.
    pub fn server_config(&self) -> ServerTlsConfig {
        ServerTlsConfig::new()
            .identity(self.identity.clone())
            .client_ca_root(self.authority.clone())
    }

    /// How this host calls `host`, whose certificate must carry its name as a DNS name.
    pub fn client_config(&self, host: &HostId) -> ClientTlsConfig {
        ClientTlsConfig::new()
            .domain_name(host.as_str())
            .ca_certificate(self.authority.clone())
            .identity(self.identity.clone())
    }
}
