//! Calls to other hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use jujubehold_wire::peer::peer_client::PeerClient;
use log::{debug, warn};
use metrics::counter;
use prost::Message;
use tonic::transport::Channel;

use super::peer_connector::PeerConnector;

/// The timeout of a call to another host.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The most channels to other hosts that are kept open. A further channel replaces all of them.
const MAX_CHANNELS: usize = 128;
/// The size limit of a message between hosts, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// A host and its peer address.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct PeerTarget {
    /// The host's name, which its certificate must contain.
    pub host: HostId,
    /// The host's address for calls.
    pub address: SocketAddr,
}

/// Channels to other hosts, which are opened when first used.
#[derive(Debug)]
pub(crate) struct PeerClients {
    connector: PeerConnector,
    channels: BTreeMap<PeerTarget, Channel>,
}

impl PeerClients {
    /// Creates the clients without any channel.
    pub(crate) fn new(connector: PeerConnector) -> Self {
        Self {
            connector,
            channels: BTreeMap::new(),
        }
    }

    /// Sends a notification without waiting for it. The next exchange makes up for a lost one.
    pub(crate) fn notify(&mut self, to: PeerTarget, request: peer::NotifyRequest) {
        let Some(mut client) = self.client(&to) else {
            return;
        };
        count_sent(notification_kind(&request), request.encoded_len());
        actix_rt::spawn(async move {
            match tokio::time::timeout(CALL_TIMEOUT, client.notify(request)).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => debug!("failed to notify host {}: {error}", to.host),
                Err(_) => debug!("notification of host {} timed out", to.host),
            }
        });
    }

    /// Sends an exchange request and passes the response to `on_response`, which is not called if
    /// the request fails.
    pub(crate) fn exchange(
        &mut self,
        with: PeerTarget,
        request: peer::ExchangeRequest,
        on_response: impl FnOnce(peer::ExchangeResponse) + 'static,
    ) {
        let Some(mut client) = self.client(&with) else {
            return;
        };
        count_sent("exchange", request.encoded_len());
        actix_rt::spawn(async move {
            match tokio::time::timeout(CALL_TIMEOUT, client.exchange(request)).await {
                Ok(Ok(response)) => on_response(response.into_inner()),
                Ok(Err(error)) => debug!("exchange with host {} failed: {error}", with.host),
                Err(_) => debug!("exchange with host {} timed out", with.host),
            }
        });
    }

    fn client(&mut self, to: &PeerTarget) -> Option<PeerClient<Channel>> {
        if self.channels.len() >= MAX_CHANNELS && !self.channels.contains_key(to) {
            self.channels.clear();
        }
        if !self.channels.contains_key(to) {
            match self.connector.channel(&to.host, to.address) {
                Ok(channel) => self.channels.insert(to.clone(), channel),
                Err(error) => {
                    warn!("failed to create a channel to host {}: {error}", to.host);
                    return None;
                }
            };
        }
        let channel = self.channels.get(to)?.clone();
        Some(PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES))
    }
}

/// Counts a message to another host and its size in bytes.
pub(crate) fn count_sent(kind: &'static str, bytes: usize) {
    counter!("jujubehold_control_messages_sent_total", "kind" => kind).increment(1);
    counter!("jujubehold_control_sent_bytes_total", "kind" => kind).increment(bytes as u64);
}

fn notification_kind(request: &peer::NotifyRequest) -> &'static str {
    use peer::notify_request::Kind;
    match &request.kind {
        Some(Kind::Suspicion(_)) => "suspicion",
        Some(Kind::Announcement(_)) => "announcement",
        Some(Kind::Service(_)) => "service",
        Some(Kind::Doubt(_)) => "doubt",
        Some(Kind::Liveness(_)) => "liveness",
        Some(Kind::Leaving(_)) => "leaving",
        None => "empty",
    }
}
