//! The opening of channels to other hosts.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::{AddressTranslation, HostSettings};
use tonic::transport::{Channel, Endpoint, ServerTlsConfig};

use super::owner_silences::OwnerSilences;
use crate::security::{PeerTls, SecurityError};

/// The timeout for connecting to another host.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens channels to other hosts, with mutual TLS if the settings name an identity.
#[derive(Debug, Clone, Default)]
pub struct PeerConnector {
    tls: Option<PeerTls>,
    translation: AddressTranslation,
    /// The owners that accepted no request in time.
    pub(super) owner_silences: Arc<OwnerSilences>,
}

impl PeerConnector {
    /// Loads the host's TLS identity, if the settings name one.
    ///
    /// # Errors
    /// Returns an error if a file of the identity can't be used.
    pub fn load(settings: &HostSettings) -> Result<Self, SecurityError> {
        let tls = settings.tls.as_ref().map(PeerTls::load).transpose()?;
        let translation = settings.address_translation.clone();
        Ok(Self {
            tls,
            translation,
            owner_silences: Arc::default(),
        })
    }

    /// Returns the TLS configuration with which this host accepts calls; `None` without TLS.
    pub(crate) fn server_config(&self) -> Option<ServerTlsConfig> {
        self.tls.as_ref().map(PeerTls::server_config)
    }

    /// Returns a channel to `host` at `address`, which connects at its first call.
    ///
    /// # Errors
    /// Returns an error if the identity can't be used for a channel.
    ///
    /// # Panics
    /// Never panics, because a socket address always forms a valid URI.
    pub(crate) fn channel(
        &self,
        host: &HostId,
        address: SocketAddr,
    ) -> Result<Channel, tonic::transport::Error> {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let address = self.translation.translate(address);
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))
            .expect("a socket address forms a valid URI")
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        if let Some(tls) = &self.tls {
            endpoint = endpoint.tls_config(tls.client_config(host))?;
        }
        Ok(endpoint.connect_lazy())
    }
}
