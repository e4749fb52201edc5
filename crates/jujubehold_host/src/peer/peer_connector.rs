//! How this host opens channels to others.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::{AddressTranslation, HostSettings};
use tonic::transport::{Channel, Endpoint, ServerTlsConfig};

use crate::security::{PeerTls, SecurityError};

/// How long a connection to another host may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// Opens channels to other hosts, by mutual TLS where the settings name an identity.
#[derive(Debug, Clone, Default)]
pub struct PeerConnector {
    tls: Option<PeerTls>,
    translation: AddressTranslation,
}

impl PeerConnector {
    /// Reads the host's identity, if the settings name one.
    ///
    /// # Errors
    /// A file of the identity can't be used.
    pub fn load(settings: &HostSettings) -> Result<Self, SecurityError> {
        let tls = settings.tls.as_ref().map(PeerTls::load).transpose()?;
        let translation = settings.address_translation.clone();
        Ok(Self { tls, translation })
    }

    /// How this host takes other hosts' calls; `None` in the clear.
    pub(crate) fn server_config(&self) -> Option<ServerTlsConfig> {
        self.tls.as_ref().map(PeerTls::server_config)
    }

    /// A channel to `host` at `address`, which connects at its first call.
    ///
    /// # Errors
    /// The identity can't be used for a channel.
    ///
    /// # Panics
    /// Never: an address and a port always make a good URI.
    pub(crate) fn channel(
        &self,
        host: &HostId,
        address: SocketAddr,
    ) -> Result<Channel, tonic::transport::Error> {
        let scheme = if self.tls.is_some() { "https" } else { "http" };
        let address = self.translation.translate(address);
        let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))
            .expect("an address is a good URI")
            .connect_timeout(CONNECT_TIMEOUT)
            .tcp_nodelay(true);
        if let Some(tls) = &self.tls {
            endpoint = endpoint.tls_config(tls.client_config(host))?;
        }
        Ok(endpoint.connect_lazy())
    }
}
