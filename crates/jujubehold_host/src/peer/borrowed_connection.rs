//! An upstream connection that another host lends to this one.

use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError};
use jujubehold_wire::peer;
use jujubehold_wire::peer::forward_request::Kind as RequestKind;
use jujubehold_wire::peer::forward_response::Kind as ResponseKind;
use jujubehold_wire::peer::peer_client::PeerClient;
use log::debug;
use metrics::counter;
use thiserror::Error;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Streaming;
use tonic::transport::Channel;

use super::peer_clients::{MAX_MESSAGE_BYTES, PeerTarget};
use super::peer_connector::PeerConnector;
use crate::routing_table::Owner;

/// The most messages that are queued for a slow owner; a full queue blocks the caller.
const MAX_QUEUED_REQUESTS: usize = 16;
/// The timeout for an owner to accept a request, before it waits for a connection. Two owners that
/// are silent must leave time for a direct connection within the timeout of a term's proof.
const ACCEPT_TIMEOUT: Duration = Duration::from_millis(150);
/// How long the network may take, in addition to the time that the owner may wait.
const NETWORK_ALLOWANCE: Duration = Duration::from_millis(500);

thread_local! {
    // A channel's I/O runs on the thread that opened it, so each thread keeps its own channels.
    static CHANNELS: RefCell<BTreeMap<PeerTarget, Channel>> = const { RefCell::new(BTreeMap::new()) };
}

/// Why a connection could not be borrowed from another host, or was lost.
#[derive(Debug, Error)]
pub enum ForwardError {
    /// The owner refused; nothing was sent to the upstream.
    #[error("the owner refused: {reason}")]
    Refused {
        /// The stable name of the reason.
        reason: String,
        /// How long to wait before a retry.
        retry_after: Duration,
    },
    /// No owner could be reached; nothing was sent to the upstream.
    #[error("the owner can't be reached: {0}")]
    Unreachable(String),
    /// The owner did not accept the request in time; nothing was sent to the upstream.
    #[error("the owner did not accept the request in time")]
    Silent,
    /// The stream broke; sent statements may have run.
    #[error("the stream to the owner broke: {0}")]
    Broken(String),
}

/// A request to borrow a connection from an owner.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ForwardTarget {
    /// Identifies the request in the logs of both hosts.
    pub request_id: RequestId,
    /// The service.
    pub service: ServiceId,
    /// The instance.
    pub instance: InstanceId,
    /// The term of the route; 0 accepts any term.
    pub term: Term,
    /// How long the request may wait for a connection on the owner.
    pub wait: Duration,
}

/// A connection that another host lends to this one until [`BorrowedConnection::finish`]. If this
/// value is dropped before that, the owner closes the connection.
#[derive(Debug)]
pub struct BorrowedConnection {
    requests: mpsc::Sender<peer::ForwardRequest>,
    responses: Streaming<peer::ForwardResponse>,
    sent: u64,
    received: u64,
    buffer: BytesMut,
}

impl BorrowedConnection {
    /// Borrows a connection from the first of `owners` that lends one.
    ///
    /// Nothing has been sent to the upstream when an owner refuses or can't be reached, so it is
    /// safe to try the next one. An owner that was silent is passed over for a while.
    ///
    /// # Errors
    /// Returns the last owner's error if no owner lends a connection.
    pub async fn open(
        connector: &PeerConnector,
        owners: &[Owner],
        target: &ForwardTarget,
    ) -> Result<Self, ForwardError> {
        let mut failure = ForwardError::Unreachable("the instance has no owner".to_owned());
        let silences = &connector.owner_silences;
        for owner in owners.iter().filter(|owner| !owner.is_local) {
            if silences.is_silent(&owner.host) {
                failure = ForwardError::Silent;
                continue;
            }
            let host = PeerTarget {
                host: owner.host.clone(),
                address: owner.peer_address,
            };
            match Self::open_at(connector, &host, target).await {
                Ok(connection) => return Ok(connection),
                Err(error) => {
                    debug!(owner = owner.host.as_str(), instance = target.instance.as_str();
                        "no connection was lent: {error}");
                    if matches!(error, ForwardError::Silent) {
                        silences.note_silent(&owner.host);
                    }
                    counter!("jujubehold_retries_total", "reason" => RetryReason::OwnerMoved.as_str()).increment(1);
                    failure = error;
                }
            }
        }
        Err(failure)
    }

    /// Borrows a connection from `host`.
    ///
    /// # Errors
    /// Returns an error if the host refuses or can't be reached; nothing was sent to the upstream.
    pub async fn open_at(
        connector: &PeerConnector,
        host: &PeerTarget,
        target: &ForwardTarget,
    ) -> Result<Self, ForwardError> {
        let limit = target.wait + NETWORK_ALLOWANCE;
        match tokio::time::timeout(limit, Self::try_open(connector, host, target)).await {
            Ok(outcome) => outcome,
            Err(_) => Err(ForwardError::Unreachable("no answer in time".to_owned())),
        }
    }

    async fn try_open(
        connector: &PeerConnector,
        host: &PeerTarget,
        target: &ForwardTarget,
    ) -> Result<Self, ForwardError> {
        let (requests, receiver) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let open = peer::ForwardOpen {
            request_id: target.request_id.to_string(),
            service: target.service.to_string(),
            instance: target.instance.to_string(),
            term: target.term,
            wait_ms: u32::try_from(target.wait.as_millis()).unwrap_or(u32::MAX),
        };
        // The queue is empty, so this can't fail, and the open is queued before the stream starts.
        let _ = requests.try_send(request(RequestKind::Open(open)));
        let starting = start_stream(channel(connector, host)?, receiver);
        let responses = tokio::time::timeout(ACCEPT_TIMEOUT, starting)
            .await
            .map_err(|_| ForwardError::Silent)??;
        let mut connection = Self {
            responses,
            requests,
            sent: 0,
            received: 0,
            buffer: BytesMut::new(),
        };
        match connection.next_response().await.map_err(as_unreachable)? {
            ResponseKind::Opened(_) => Ok(connection),
            ResponseKind::Refused(refused) => Err(ForwardError::Refused {
                reason: refused.reason,
                retry_after: Duration::from_millis(refused.retry_after_ms.into()),
            }),
            ResponseKind::Broken(broken) => Err(ForwardError::Unreachable(broken.detail)),
            ResponseKind::Frames(_) => Err(ForwardError::Unreachable(
                "an answer came unasked".to_owned(),
            )),
        }
    }

    /// Sends the bytes of one or more complete messages.
    ///
    /// # Errors
    /// Returns an error if the stream broke; the bytes may have reached the upstream.
    pub async fn send(&mut self, bytes: &[u8]) -> Result<(), ForwardError> {
        self.sent += 1;
        let frames = peer::ForwardFrames {
            sequence: self.sent,
            frames: Bytes::copy_from_slice(bytes),
        };
        self.requests
            .send(request(RequestKind::Frames(frames)))
            .await
            .map_err(|_| ForwardError::Broken("the owner is gone".to_owned()))
    }

    /// Receives the next message. Dropping the future loses no data.
    ///
    /// # Errors
    /// Returns an error if the stream broke.
    pub async fn receive(&mut self) -> Result<Frame, ForwardError> {
        loop {
            match Frame::cut(&mut self.buffer) {
                Ok(Some(frame)) => return Ok(frame),
                Ok(None) => {}
                Err(error) => return Err(malformed(&error)),
            }
            match self.next_response().await? {
                ResponseKind::Frames(frames) => self.append_frames(&frames)?,
                ResponseKind::Broken(broken) => return Err(ForwardError::Broken(broken.detail)),
                ResponseKind::Opened(_) | ResponseKind::Refused(_) => {
                    return Err(ForwardError::Broken("an answer came twice".to_owned()));
                }
            }
        }
    }

    fn append_frames(&mut self, frames: &peer::ForwardFrames) -> Result<(), ForwardError> {
        self.received += 1;
        if frames.sequence != self.received {
            counter!("jujubehold_forward_sequence_faults_total").increment(1);
            let detail = format!(
                "message {} came where {} was due",
                frames.sequence, self.received
            );
            return Err(ForwardError::Broken(detail));
        }
        self.buffer.extend_from_slice(&frames.frames);
        Ok(())
    }

    /// Returns a clean connection to its owner. The connection has to be outside of a transaction,
    /// with every response read.
    ///
    /// Waits until the owner has taken the connection, because dropping the stream earlier would
    /// reset it, and the owner would then close the connection.
    pub async fn finish(mut self) {
        let close = peer::ForwardClose { is_clean: true };
        // If the owner is gone, the connection is closed.
        let _ = self.requests.send(request(RequestKind::Close(close))).await;
        let closing = async { while self.next_response().await.is_ok() {} };
        // After the timeout the stream is reset, and the owner closes the connection.
        let _ = tokio::time::timeout(NETWORK_ALLOWANCE, closing).await;
    }

    async fn next_response(&mut self) -> Result<ResponseKind, ForwardError> {
        match self.responses.message().await {
            Ok(Some(response)) => response
                .kind
                .ok_or_else(|| ForwardError::Broken("an answer is empty".to_owned())),
            Ok(None) => Err(ForwardError::Broken("the owner ended it".to_owned())),
            Err(status) => Err(ForwardError::Broken(status.to_string())),
        }
    }
}

/// Returns this thread's channel to a host, and creates it if needed.
fn channel(connector: &PeerConnector, host: &PeerTarget) -> Result<Channel, ForwardError> {
    CHANNELS.with_borrow_mut(|channels| {
        if let Some(channel) = channels.get(host) {
            return Ok(channel.clone());
        }
        let channel = connector
            .channel(&host.host, host.address)
            .map_err(|error| ForwardError::Unreachable(error.to_string()))?;
        channels.insert(host.clone(), channel.clone());
        Ok(channel)
    })
}

async fn start_stream(
    channel: Channel,
    receiver: mpsc::Receiver<peer::ForwardRequest>,
) -> Result<Streaming<peer::ForwardResponse>, ForwardError> {
    let mut client = PeerClient::new(channel).max_decoding_message_size(MAX_MESSAGE_BYTES);
    let response = client
        .forward(ReceiverStream::new(receiver))
        .await
        .map_err(|status| ForwardError::Unreachable(status.to_string()))?;
    Ok(response.into_inner())
}

fn request(kind: RequestKind) -> peer::ForwardRequest {
    peer::ForwardRequest { kind: Some(kind) }
}

/// Turns a broken stream into an unreachable owner: before a connection was lent, nothing was sent
/// to the upstream.
fn as_unreachable(error: ForwardError) -> ForwardError {
    match error {
        ForwardError::Broken(detail) => ForwardError::Unreachable(detail),
        ForwardError::Refused { .. } | ForwardError::Unreachable(_) | ForwardError::Silent => error,
    }
}

fn malformed(error: &FrameError) -> ForwardError {
    ForwardError::Broken(error.to_string())
}
