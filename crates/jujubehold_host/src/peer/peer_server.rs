//! The server for other hosts' calls.

use std::sync::Arc;
use std::time::Duration;

use jujubehold_wire::peer;
use jujubehold_wire::peer::peer_server::{Peer, PeerServer};
use log::warn;
use tokio::net::TcpListener;
use tokio::sync::{mpsc, oneshot};
use tokio_stream::wrappers::ReceiverStream;
use tonic::transport::Server;
use tonic::transport::server::TcpIncoming;
use tonic::{Request, Response, Status, Streaming};

use super::forward_server::{ForwardSender, MAX_QUEUED_RESPONSES, forward};
use super::peer_clients::MAX_MESSAGE_BYTES;
use crate::control::{ControlEvent, ControlSender};
use crate::shared::Shared;

/// How often a connection of another host is checked, and how long the answer may take. A host that
/// was cut off sends no end of its connection, and a transaction that it left open on a lent
/// connection would hold its locks for good.
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(5);
const KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(2);

/// Dispatches other hosts' calls: control calls to the control thread, streams to tasks of this
/// thread.
#[derive(Debug)]
struct PeerService {
    events: ControlSender,
    jobs: mpsc::UnboundedSender<ForwardJob>,
}

/// A stream by which another host borrows a connection.
#[derive(Debug)]
struct ForwardJob {
    requests: Streaming<peer::ForwardRequest>,
    responses: ForwardSender,
}

/// Serves other hosts on `listener` until the future is dropped.
pub(crate) async fn serve_peers(listener: TcpListener, events: ControlSender, shared: Arc<Shared>) {
    let shared_tls = shared.connector.server_config();
    let (jobs, job_receiver) = mpsc::unbounded_channel();
    actix_rt::spawn(run_jobs(job_receiver, shared));
    let service =
        PeerServer::new(PeerService { events, jobs }).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let incoming = peer_incoming(listener);
    let builder = match shared_tls {
        Some(tls) => Server::builder().tls_config(tls),
        None => Ok(Server::builder()),
    };
    let served = match builder {
        Ok(server) => {
            server
                .http2_keepalive_interval(Some(KEEP_ALIVE_INTERVAL))
                .http2_keepalive_timeout(Some(KEEP_ALIVE_TIMEOUT))
                .serve_with_incoming(service, incoming)
                .await
        }
        Err(error) => Err(error),
    };
    if let Err(error) = served {
        warn!("stopped serving other hosts: {error}");
    }
}

/// Accepts connections of other hosts with `TCP_NODELAY` set.
///
/// Without that option, the return of a lent connection waits some 40 ms for the other side's
/// delayed acknowledgement, and the connection is missing from the pool for that long; see
/// docs/notes/ownership-and-forwarding.md.
pub fn peer_incoming(listener: TcpListener) -> TcpIncoming {
    TcpIncoming::from(listener).with_nodelay(Some(true))
}

/// Serves each stream in a task of this thread, as the pools require. The server's own tasks can't
/// spawn tasks on this thread.
async fn run_jobs(mut jobs: mpsc::UnboundedReceiver<ForwardJob>, shared: Arc<Shared>) {
    while let Some(job) = jobs.recv().await {
        actix_rt::spawn(forward(job.requests, job.responses, Arc::clone(&shared)));
    }
}

#[tonic::async_trait]
impl Peer for PeerService {
    type ForwardStream = ReceiverStream<Result<peer::ForwardResponse, Status>>;

    async fn forward(
        &self,
        request: Request<Streaming<peer::ForwardRequest>>,
    ) -> Result<Response<Self::ForwardStream>, Status> {
        let (sender, receiver) = mpsc::channel(MAX_QUEUED_RESPONSES);
        let job = ForwardJob {
            requests: request.into_inner(),
            responses: sender,
        };
        self.jobs
            .send(job)
            .map_err(|_| Status::unavailable("the host ends"))?;
        Ok(Response::new(ReceiverStream::new(receiver)))
    }

    async fn exchange(
        &self,
        request: Request<peer::ExchangeRequest>,
    ) -> Result<Response<peer::ExchangeResponse>, Status> {
        let (response_sender, response_receiver) = oneshot::channel();
        let request = Box::new(request.into_inner());
        self.events
            .send(ControlEvent::ExchangeRequested {
                request,
                response_sender,
            })
            .map_err(|_| Status::unavailable("the host ends"))?;
        match response_receiver.await {
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
