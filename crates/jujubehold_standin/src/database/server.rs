//! Accepts connections and starts their sessions.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicI32, Ordering};
use std::sync::{Arc, PoisonError};

use bytes::BytesMut;
use jujubehold_pg::{
    FirstPacket, Frame, FrameError, FrameReader, parameter_status, read_first_packet,
    ready_for_query,
};
use pgwire::messages::startup::{Authentication, BackendKeyData, SecretKey};
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

use super::executor::Executor;
use super::pg_client::REPLICATION_APPLICATION_NAME;
use super::session::Session;
use super::shared::{Cancellation, Shared};
use super::sql_error::SqlError;

/// Accepts connections until the runtime ends; the port is closed while the instance is down.
pub(crate) async fn run(shared: Arc<Shared>, mut listener: Option<TcpListener>) {
    let Some(address) = listener
        .as_ref()
        .and_then(|listener| listener.local_addr().ok())
    else {
        return;
    };
    let mut conditions = shared.conditions.subscribe();
    loop {
        let is_down = conditions.borrow_and_update().is_down;
        if is_down {
            listener = None;
            // `shared` holds the sender, so waiting cannot fail.
            let _ = conditions.changed().await;
            continue;
        }
        let Some(open) = &listener else {
            listener = TcpListener::bind(address).await.ok();
            continue;
        };
        tokio::select! {
            accepted = open.accept() => {
                if let Ok((stream, _)) = accepted {
                    actix_rt::spawn(serve(Arc::clone(&shared), stream));
                }
            }
            _ = conditions.changed() => {}
        }
    }
}

async fn serve(shared: Arc<Shared>, stream: TcpStream) {
    let mut conditions = shared.conditions.subscribe();
    tokio::select! {
        // Checked first, so that messages received before a kill are not answered after it.
        biased;
        _ = conditions.wait_for(|conditions| conditions.is_down) => {}
        result = serve_connection(&shared, stream) => {
            if let Err(error) = result {
                log::debug!(instance = shared.settings.name.as_str(); "connection ended: {error}");
            }
        }
    }
}

async fn serve_connection(shared: &Arc<Shared>, mut stream: TcpStream) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    loop {
        let packet = read_first_packet(&mut stream, &mut buffer).await?;
        shared.wait_while_frozen().await;
        match packet {
            FirstPacket::Ssl | FirstPacket::Gss => stream.write_all(b"N").await?,
            FirstPacket::Cancel {
                process_id,
                secret_key,
            } => {
                cancel(shared, process_id, &secret_key);
                return Ok(());
            }
            FirstPacket::Startup(parameters) => {
                let name = parameters.get("application_name").map(String::as_str);
                let is_caller = name != Some(REPLICATION_APPLICATION_NAME);
                return serve_session(shared, stream, buffer, is_caller).await;
            }
        }
    }
}

fn cancel(shared: &Shared, process_id: i32, secret_key: &[u8]) {
    let cancellations = shared
        .cancellations
        .lock()
        .unwrap_or_else(PoisonError::into_inner);
    let known = cancellations
        .get(&process_id)
        .filter(|known| known.secret_key.to_be_bytes() == secret_key);
    if let Some(known) = known {
        known.cancel_requested.notify_waiters();
    }
}

/// Counts a caller's connection in `Shared` until it is dropped.
struct ConnectionCountGuard<'a>(&'a Shared);

impl<'a> ConnectionCountGuard<'a> {
    fn new(shared: &'a Shared) -> Self {
        shared.connections.fetch_add(1, Ordering::Relaxed);
        Self(shared)
    }
}

impl Drop for ConnectionCountGuard<'_> {
    fn drop(&mut self) {
        self.0.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Keeps a connection's cancellation key registered until it is dropped.
struct CancellationGuard<'a> {
    shared: &'a Shared,
    process_id: i32,
}

impl<'a> CancellationGuard<'a> {
    fn new(shared: &'a Shared, process_id: i32, cancellation: Cancellation) -> Self {
        let mut known = shared
            .cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        known.insert(process_id, cancellation);
        drop(known);
        Self { shared, process_id }
    }
}

impl Drop for CancellationGuard<'_> {
    fn drop(&mut self) {
        let mut known = self
            .shared
            .cancellations
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        known.remove(&self.process_id);
    }
}

async fn serve_session(
    shared: &Arc<Shared>,
    mut stream: TcpStream,
    buffer: BytesMut,
    is_caller: bool,
) -> Result<(), FrameError> {
    static NEXT_PROCESS_ID: AtomicI32 = AtomicI32::new(1);

    let _count_guard = is_caller.then(|| ConnectionCountGuard::new(shared));
    if is_caller && shared.connection_count() > shared.settings.connection_limit {
        let error = SqlError::new("53300", "sorry, too many clients already");
        stream.write_all(error.frame("FATAL").bytes()).await?;
        return Ok(());
    }
    if is_caller {
        tokio::time::sleep(shared.settings.connect_cost).await;
        shared.wait_while_frozen().await;
    }
    let process_id = NEXT_PROCESS_ID.fetch_add(1, Ordering::Relaxed);
    let secret_key: i32 = rand::random();
    let cancel_requested = Arc::new(Notify::new());
    let cancellation = Cancellation {
        secret_key,
        cancel_requested: Arc::clone(&cancel_requested),
    };
    let _cancellation_guard = CancellationGuard::new(shared, process_id, cancellation);
    let executor =
        Executor::open(Arc::clone(shared)).map_err(|error| FrameError::Malformed(error.message))?;
    stream
        .write_all(&startup_response(process_id, secret_key))
        .await?;
    let (reader, writer) = stream.into_split();
    let reader = FrameReader::new(reader, buffer);
    Session::new(
        Arc::clone(shared),
        executor,
        reader,
        writer,
        cancel_requested,
    )
    .run()
    .await
}

fn startup_response(process_id: i32, secret_key: i32) -> BytesMut {
    let frames = [
        Frame::encode(&Authentication::Ok),
        parameter_status("server_version", "17.0 (jujubehold stand-in)"),
        parameter_status("server_encoding", "UTF8"),
        parameter_status("client_encoding", "UTF8"),
        parameter_status("DateStyle", "ISO, MDY"),
        parameter_status("integer_datetimes", "on"),
        parameter_status("standard_conforming_strings", "on"),
        Frame::encode(&BackendKeyData::new(process_id, SecretKey::I32(secret_key))),
        ready_for_query(b'I'),
    ];
    let mut bytes = BytesMut::new();
    for frame in &frames {
        bytes.extend_from_slice(frame.bytes());
    }
    bytes
}

/// Binds the listening socket.
pub(crate) async fn listen(address: SocketAddr) -> std::io::Result<TcpListener> {
    TcpListener::bind(address).await
}
