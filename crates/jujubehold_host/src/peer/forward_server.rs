//! Lends upstream connections of this host to other hosts.
//!
//! See docs/notes/ownership-and-forwarding.md.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use futures_util::FutureExt;
use jujubehold_core::prelude::*;
use jujubehold_pg::{Frame, FrameError, backend, frontend};
use jujubehold_wire::peer;
use jujubehold_wire::peer::forward_request::Kind as RequestKind;
use jujubehold_wire::peer::forward_response::Kind as ResponseKind;
use log::debug;
use metrics::counter;
use tokio::sync::mpsc;
use tonic::{Status, Streaming};

use crate::activity::Activity;
use crate::drain_phase::DrainPhase;
use crate::pool::{PoolError, PooledConnection, PreparedNames};
use crate::shared::Shared;

/// The most responses that are queued for a slow entry host; a full queue stops reads from the
/// upstream.
pub(crate) const MAX_QUEUED_RESPONSES: usize = 16;
/// The size of upstream messages above which no more are added to a response, in bytes.
const TARGET_RESPONSE_BYTES: usize = 16 * 1024;
/// How long a refused entry host should wait before it retries, in milliseconds.
const RETRY_AFTER_MS: u32 = 50;

/// The sender of one stream's responses.
pub(crate) type ForwardSender = mpsc::Sender<Result<peer::ForwardResponse, Status>>;

/// Serves one stream: lends a connection, forwards messages in both directions, and returns the
/// connection to the pool.
pub(crate) async fn forward(
    mut requests: Streaming<peer::ForwardRequest>,
    responses: ForwardSender,
    shared: Arc<Shared>,
) {
    let Ok(Some(first)) = requests.message().await else {
        return;
    };
    let Some(RequestKind::Open(open)) = first.kind else {
        send(&responses, broken("the stream does not begin with an open")).await;
        return;
    };
    let connection = match lend(&shared, &open).await {
        Ok(connection) => connection,
        Err(reason) => {
            counter!("jujubehold_forward_refused_total", "reason" => reason.as_str()).increment(1);
            let refused = peer::ForwardRefused {
                reason: reason.as_str().to_owned(),
                retry_after_ms: RETRY_AFTER_MS,
            };
            send(&responses, ResponseKind::Refused(refused)).await;
            return;
        }
    };
    let _lent = Activity::begin_lent(&shared.activity);
    counter!("jujubehold_forward_lent_total").increment(1);
    let request_id = open.request_id;
    if !send(
        &responses,
        ResponseKind::Opened(peer::ForwardOpened { request_id }),
    )
    .await
    {
        connection.put_back();
        return;
    }
    let mut lent = LentConnection::new(connection);
    match lent.forward_messages(&mut requests, &responses).await {
        Ok(()) => lent.return_to_pool(),
        Err(detail) => {
            debug!("a lent connection was lost: {detail}");
            send(&responses, broken(&detail)).await;
        }
    }
}

async fn lend(
    shared: &Shared,
    open: &peer::ForwardOpen,
) -> Result<PooledConnection, RefusalReason> {
    let service: ServiceId = open.service.as_str().into();
    let instance: InstanceId = open.instance.as_str().into();
    let route = shared.table.borrow().services.get(&service).cloned();
    let Some(route) = route else {
        return Err(RefusalReason::UnknownService);
    };
    // Nothing was sent yet, so the entry host can try the next owner.
    if *shared.phase.borrow() >= DrainPhase::Finishing {
        return Err(RefusalReason::ShuttingDown);
    }
    let Some(config) = route.config.instances.get(&instance) else {
        return Err(RefusalReason::UnknownService);
    };
    if config.state == InstanceState::Leaving && route.view.primary.as_ref() != Some(&instance) {
        return Err(RefusalReason::Leaving);
    }
    if open.term != 0 && open.term < route.view.term {
        return Err(RefusalReason::NoPrimary);
    }
    let wait = Duration::from_millis(open.wait_ms.into());
    let quota = shared.quota(&route.config, config);
    loop {
        let acquired = shared
            .pools
            .acquire(&service, &instance, config, quota, wait)
            .await;
        match acquired {
            // The entry host expects the upstream's default settings, so a connection with other
            // settings is closed.
            Ok(mut connection) => {
                if connection.connection().settings().is_empty() {
                    return Ok(connection);
                }
            }
            Err(PoolError::Busy) => return Err(RefusalReason::QueueFull),
            Err(PoolError::Open(_) | PoolError::Refused) => {
                return Err(RefusalReason::UpstreamUnreachable);
            }
        }
    }
}

/// A lent connection and the state of its stream.
struct LentConnection {
    connection: PooledConnection,
    received: u64,
    sent: u64,
    // Whether the upstream is ready for the next request and not in a transaction.
    is_idle: bool,
    // The number of named statements that were prepared; this host doesn't track their names.
    prepared_count: usize,
}

impl LentConnection {
    fn new(connection: PooledConnection) -> Self {
        Self {
            connection,
            received: 0,
            sent: 0,
            is_idle: true,
            prepared_count: 0,
        }
    }

    /// Forwards messages in both directions until the entry host closes the stream as clean.
    async fn forward_messages(
        &mut self,
        requests: &mut Streaming<peer::ForwardRequest>,
        responses: &ForwardSender,
    ) -> Result<(), String> {
        loop {
            tokio::select! {
                request = requests.message() => {
                    let request = request.map_err(|status| status.to_string())?;
                    match request.and_then(|request| request.kind) {
                        Some(RequestKind::Frames(frames)) => self.send_frames(frames).await?,
                        Some(RequestKind::Close(close)) if close.is_clean => return Ok(()),
                        Some(RequestKind::Close(_)) | None => {
                            return Err("the stream ended within a request".to_owned());
                        }
                        Some(RequestKind::Open(_)) => {
                            return Err("the stream was opened twice".to_owned());
                        }
                    }
                }
                frame = self.connection.connection().receive() => {
                    let frame = frame.map_err(|error| error.to_string())?;
                    let frames = self.collect_frames(&frame).map_err(|error| error.to_string())?;
                    self.sent += 1;
                    let sequence = self.sent;
                    let frames = peer::ForwardFrames { sequence, frames };
                    if !send(responses, ResponseKind::Frames(frames)).await {
                        return Err("the entry host is gone".to_owned());
                    }
                }
            }
        }
    }

    async fn send_frames(&mut self, frames: peer::ForwardFrames) -> Result<(), String> {
        self.received += 1;
        if frames.sequence != self.received {
            counter!("jujubehold_forward_sequence_faults_total").increment(1);
            return Err(format!(
                "message {} came where {} was due",
                frames.sequence, self.received
            ));
        }
        self.is_idle = false;
        let connection = self.connection.connection();
        self.prepared_count += track_statements(&frames.frames, connection.prepared());
        connection
            .send(&frames.frames)
            .await
            .map_err(|error| error.to_string())
    }

    /// Returns the bytes of `first` and of the messages that are already available after it, up to
    /// about the target size.
    fn collect_frames(&mut self, first: &Frame) -> Result<Bytes, FrameError> {
        self.track_idle(first);
        let mut bytes = BytesMut::from(first.bytes().as_ref());
        while bytes.len() < TARGET_RESPONSE_BYTES {
            let Some(next) = self.connection.connection().receive().now_or_never() else {
                break;
            };
            let next = next?;
            self.track_idle(&next);
            bytes.extend_from_slice(next.bytes());
        }
        Ok(bytes.freeze())
    }

    fn track_idle(&mut self, frame: &Frame) {
        self.is_idle = frame.tag() == backend::READY_FOR_QUERY && frame.body() == b"I";
    }

    /// Returns the connection to the pool; closes one that is not clean.
    fn return_to_pool(mut self) {
        let connection = self.connection.connection();
        let has_room = connection.add_foreign_statements(self.prepared_count);
        if self.is_idle && has_room {
            self.connection.put_back();
        }
    }
}

/// Counts the frontend messages that prepare a named statement, and removes the statements that
/// others close from `prepared`: they may prepare them again, but that may fail.
fn track_statements(frames: &Bytes, prepared: &mut PreparedNames) -> usize {
    let mut rest = BytesMut::from(frames.as_ref());
    let mut count = 0;
    while let Ok(Some(frame)) = Frame::cut(&mut rest) {
        let Some(text) = frame.first_text() else {
            continue;
        };
        if frame.tag() == frontend::PARSE && !text.is_empty() {
            count += 1;
        }
        if frame.tag() == frontend::CLOSE
            && let Some(name) = text.strip_prefix('S')
        {
            prepared.remove_named(name);
        }
    }
    count
}

fn broken(detail: &str) -> ResponseKind {
    ResponseKind::Broken(peer::ForwardBroken {
        detail: detail.to_owned(),
    })
}

/// Sends a response; returns whether the stream was still open.
async fn send(responses: &ForwardSender, kind: ResponseKind) -> bool {
    let response = peer::ForwardResponse { kind: Some(kind) };
    responses.send(Ok(response)).await.is_ok()
}
