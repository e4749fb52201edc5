//! One caller's session.

use std::sync::Arc;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use jujubehold_core::prelude::*;
use jujubehold_core::route::{route_read, route_write};
use jujubehold_pg::{
    Classifier, FirstPacket, Frame, FrameError, FrameReader, backend, frontend, parameter_status,
    read_first_packet, ready_for_query,
};
use log::debug;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};

use crate::drain_phase::DrainPhase;
use crate::pool::PooledConnection;
use crate::routing_table::ServiceRoute;
use crate::shared::Shared;
use crate::traffic::upstream_error::{refusal_error, unknown_error};

/// When a refused caller should come back, where nothing better is known.
const RETRY_AFTER: Duration = Duration::from_millis(200);
/// An answer is written to the caller in pieces of about this size, in bytes.
const WRITE_BYTES: usize = 16 * 1024;
/// The authentication message that says that nothing more is asked.
const AUTHENTICATION_OK: &[u8] = &[backend::AUTHENTICATION, 0, 0, 0, 8, 0, 0, 0, 0];

/// Serves one caller until it leaves.
pub async fn serve_caller(stream: TcpStream, shared: Arc<Shared>) {
    if let Err(error) = try_serve(stream, shared).await {
        debug!("a caller's connection ended: {error}");
    }
}

struct Caller {
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    shared: Arc<Shared>,
    service: ServiceId,
    classifier: Classifier,
    pinned: Option<PooledConnection>,
}

async fn try_serve(mut stream: TcpStream, shared: Arc<Shared>) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let parameters = loop {
        match read_first_packet(&mut stream, &mut buffer).await? {
            FirstPacket::Startup(parameters) => break parameters,
            FirstPacket::Ssl | FirstPacket::Gss => stream.write_all(b"N").await?,
            FirstPacket::Cancel { .. } => return Ok(()),
        }
    };
    let user = parameters.get("user").cloned().unwrap_or_default();
    let service = ServiceId::from(parameters.get("database").cloned().unwrap_or(user));
    let (read_half, writer) = stream.into_split();
    let mut caller = Caller {
        reader: FrameReader::new(read_half, buffer),
        writer,
        shared,
        service,
        classifier: Classifier::default(),
        pinned: None,
    };
    caller.greet().await?;
    while let Some(frame) = caller.next_frame().await? {
        match frame.tag() {
            frontend::TERMINATE => break,
            frontend::QUERY => caller.run(&frame).await?,
            _ => caller.refuse(RefusalReason::ProtocolViolation).await?,
        }
    }
    Ok(())
}

impl Caller {
    async fn greet(&mut self) -> Result<(), FrameError> {
        let mut bytes = BytesMut::from(AUTHENTICATION_OK);
        for (name, value) in [
            ("server_version", "15.0"),
            ("client_encoding", "UTF8"),
            ("standard_conforming_strings", "on"),
        ] {
            bytes.extend_from_slice(parameter_status(name, value).bytes());
        }
        bytes.extend_from_slice(ready_for_query(b'I').bytes());
        Ok(self.writer.write_all(&bytes).await?)
    }

    /// The caller's next message; `None` when it left, or was told that the host shuts down, which
    /// it is only between transactions.
    async fn next_frame(&mut self) -> Result<Option<Frame>, FrameError> {
        if self.pinned.is_some() {
            return self.reader.read().await;
        }
        let mut phase = self.shared.phase.clone();
        tokio::select! {
            biased;
            frame = self.reader.read() => return frame,
            _ = phase.wait_for(|phase| *phase == DrainPhase::Finishing) => {}
        }
        let refusal = Refusal::transient(RefusalReason::ShuttingDown, RETRY_AFTER);
        self.writer
            .write_all(refusal_error(&refusal).bytes())
            .await?;
        Ok(None)
    }

    async fn run(&mut self, frame: &Frame) -> Result<(), FrameError> {
        if let Some(pinned) = self.pinned.take() {
            return self.run_on(pinned, frame.bytes()).await;
        }
        let Some(route) = self.route() else {
            return self.refuse(RefusalReason::UnknownService).await;
        };
        let class = self
            .classifier
            .classify(frame.first_text().unwrap_or_default());
        let instance = match self.choose(&route, class) {
            Ok(instance) => instance,
            Err(reason) => return self.refuse(reason).await,
        };
        let Some(config) = route.config.instances.get(&instance) else {
            return self.refuse(RefusalReason::NoPrimary).await;
        };
        match self
            .shared
            .pools
            .acquire(&self.service, &instance, config)
            .await
        {
            Ok(connection) => self.run_on(connection, frame.bytes()).await,
            Err(_) => self.refuse(RefusalReason::UpstreamUnreachable).await,
        }
    }

    fn route(&self) -> Option<Arc<ServiceRoute>> {
        self.shared
            .table
            .borrow()
            .services
            .get(&self.service)
            .cloned()
    }

    fn choose(
        &self,
        route: &ServiceRoute,
        class: StatementClass,
    ) -> Result<InstanceId, RefusalReason> {
        if class != StatementClass::Read {
            return route_write(&route.config, &route.view);
        }
        let now = self.shared.clock.now();
        let candidates = route_read(&route.config, &route.view, None, now);
        candidates
            .into_iter()
            .next()
            .ok_or(RefusalReason::NoFreshReplica)
    }

    /// Runs one simple query on `lane`, keeps it while a transaction is open, and passes on the
    /// whole answer.
    async fn run_on(&mut self, mut lane: PooledConnection, sql: &Bytes) -> Result<(), FrameError> {
        if lane.connection().send(sql).await.is_err() {
            return self.tell_unknown(UnknownReason::ConnectionLost).await;
        }
        let mut pending = BytesMut::new();
        loop {
            let Ok(frame) = lane.connection().receive().await else {
                return self.tell_unknown(UnknownReason::ConnectionLost).await;
            };
            pending.extend_from_slice(frame.bytes());
            let is_ready = frame.tag() == backend::READY_FOR_QUERY;
            if is_ready || pending.len() >= WRITE_BYTES {
                self.writer.write_all(&pending).await?;
                pending.clear();
            }
            if is_ready {
                if frame.body() == b"I" {
                    lane.put_back();
                } else {
                    self.pinned = Some(lane);
                }
                return Ok(());
            }
        }
    }

    async fn refuse(&mut self, reason: RefusalReason) -> Result<(), FrameError> {
        let refusal = if reason.is_transient() {
            Refusal::transient(reason, RETRY_AFTER)
        } else {
            Refusal::permanent(reason)
        };
        self.answer_error(&refusal_error(&refusal)).await
    }

    async fn tell_unknown(&mut self, reason: UnknownReason) -> Result<(), FrameError> {
        self.answer_error(&unknown_error(reason)).await
    }

    async fn answer_error(&mut self, error: &Frame) -> Result<(), FrameError> {
        let mut bytes = BytesMut::from(error.bytes().as_ref());
        bytes.extend_from_slice(ready_for_query(b'I').bytes());
        Ok(self.writer.write_all(&bytes).await?)
    }
}
