//! Calls of other hosts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_wire::peer;
use jujubehold_wire::peer::peer_client::PeerClient;
use log::debug;
use metrics::counter;
use prost::Message;
use tonic::transport::{Channel, Endpoint};

use crate::security::PeerTls;

/// How long a call of another host may take.
const CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How many channels to other hosts are kept.
const MAX_CHANNELS: usize = 128;
/// The longest message between hosts, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = 64 * 1024 * 1024;

/// Channels to other hosts, opened when first used.
#[derive(Debug)]
pub(crate) struct PeerClients {
    tls: Option<PeerTls>,
    channels: BTreeMap<SocketAddr, Channel>,
}

impl PeerClients {
    /// Calls by `tls`, or in the clear without it.
    pub(crate) fn new(tls: Option<PeerTls>) -> Self {
        Self {
            tls,
            channels: BTreeMap::new(),
        }
    }

    /// Sends a notification; a lost one is made up for by the next exchange.
    pub(crate) fn notify(&mut self, to: SocketAddr, request: peer::NotifyRequest) {
        let mut client = self.client(to);
        count_sent(notification_kind(&request), request.encoded_len());
        actix_rt::spawn(async move {
            match tokio::time::timeout(CALL_TIMEOUT, client.notify(request)).await {
                Ok(Ok(_)) => {}
                Ok(Err(error)) => debug!("host at {to} was not notified: {error}"),
                Err(_) => debug!("host at {to} was not notified in time"),
            }
        });
    }

    /// Sends one call of an exchange and hands its answer to `on_answer`.
    pub(crate) fn exchange(
        &mut self,
        with: SocketAddr,
        request: peer::ExchangeRequest,
        on_answer: impl FnOnce(peer::ExchangeResponse) + 'static,
    ) {
        let mut client = self.client(with);
        count_sent("exchange", request.encoded_len());
        actix_rt::spawn(async move {
            match tokio::time::timeout(CALL_TIMEOUT, client.exchange(request)).await {
                Ok(Ok(response)) => on_answer(response.into_inner()),
                Ok(Err(error)) => debug!("no exchange with the host at {with}: {error}"),
                Err(_) => debug!("no exchange with the host at {with} in time"),
            }
        });
    }

    fn client(&mut self, to: SocketAddr) -> PeerClient<Channel> {
        if self.channels.len() >= MAX_CHANNELS && !self.channels.contains_key(&to) {
            self.channels.clear();
        }
        let tls = self.tls.as_ref();
        let channel = self.channels.entry(to);
        let channel = channel.or_insert_with(|| channel_to(to, tls));
        PeerClient::new(channel.clone()).max_decoding_message_size(MAX_MESSAGE_BYTES)
    }
}

/// A channel to the host at `address`, which connects at its first call.
///
/// # Panics
/// Never: an address and a port always make a good URI, and the identity was read before.
pub(crate) fn channel_to(address: SocketAddr, tls: Option<&PeerTls>) -> Channel {
    let scheme = if tls.is_some() { "https" } else { "http" };
    let mut endpoint = Endpoint::from_shared(format!("{scheme}://{address}"))
        .expect("an address is a good URI")
        .connect_timeout(CALL_TIMEOUT)
        .tcp_nodelay(true);
    if let Some(tls) = tls {
        endpoint = endpoint
            .tls_config(tls.client_config())
            .expect("an identity that was read is good");
    }
    endpoint.connect_lazy()
}

/// Counts a message to another host.
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
        Some(Kind::Liveness(_)) => "liveness",
        Some(Kind::Leaving(_)) => "leaving",
        None => "empty",
    }
}
