//! The calls that other hosts make.

use std::sync::Arc;

use jujubehold_wire::peer;
use jujubehold_wire::peer::peer_server::{Peer, PeerServer};
use log::warn;
use tokio::net::TcpListener;
use tokio::sync::oneshot;
use tokio_stream::wrappers::{ReceiverStream, TcpListenerStream};
use tonic::transport::Server;
use tonic::{Request, Response, Status, Streaming};

use super::forward_server::{WAITING_ANSWERS, forward};
use super::peer_clients::MAX_MESSAGE_BYTES;
use crate::control::{ControlEvent, ControlSender};
use crate::shared::Shared;

/// Serves other hosts: control calls go to the control thread, lent connections stay here.
#[derive(Debug)]
struct PeerService {
    events: ControlSender,
    shared: Arc<Shared>,
}

/// Serves other hosts on `listener` until its future is dropped.
pub(crate) async fn serve_peers(listener: TcpListener, events: ControlSender, shared: Arc<Shared>) {
    let shared_tls = shared.connector.server_config();
    let service = PeerServer::new(PeerService { events, shared })
        .max_decoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = TcpListenerStream::new(listener);
    let builder = match shared_tls {
        Some(tls) => Server::builder().tls_config(tls),
        None => Ok(Server::builder()),
    };
    let served = match builder {
        Ok(server) => server.serve_with_incoming(service, incoming).await,
        Err(error) => Err(error),
    };
    if let Err(error) = served {
        warn!("other hosts are not served any more: {error}");
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    type ForwardStream = ReceiverStream<Result<peer::ForwardResponse, Status>>;

    async fn forward(
        &self,
        request: Request<Streaming<peer::ForwardRequest>>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        let (sender, receiver) = tokio::sync::mpsc::channel(WAITING_ANSWERS);
        tokio::spawn(forward(
            request.into_inner(),
            sender,
            Arc::clone(&self.shared),
        ));
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn exchange(
        &self,
        request: Request<peer::ExchangeRequest>,
    ) -> Result<Response<peer::ExchangeResponse>, Status> {
        let (answer, answered) = oneshot::channel();
        let request = Box::new(request.into_inner());
        self.events
            .send(ControlEvent::ExchangeAsked { request, answer })
            .map_err(|_| Status::unavailable("the host ends"))?;
        match answered.await {
            Ok(response) => Ok(Response::new(response)),
            Err(_) => Err(Status::unavailable("the host ends")),
        }
    }

    async fn notify(
        &self,
        request: Request<peer::NotifyRequest>,
    ) -> Result<Response<peer::NotifyResponse>, Status> {
        let request = Box::new(request.into_inner());
        self.events
            .send(ControlEvent::Notified(request))
            .map_err(|_| Status::unavailable("the host ends"))?;
        Ok(Response::new(peer::NotifyResponse {}))
    }
}
