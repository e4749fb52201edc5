//! Starts a caller's session: TLS, authentication and startup parameters.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::{BufMut, BytesMut};
use jujubehold_core::prelude::*;
use jujubehold_pg::{
    ErrorFields, FirstPacket, FrameError, FrameReader, backend, error_response, parameter_status,
    read_first_packet, ready_for_query,
};
use log::debug;
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::caller_io::CallerIo;
use super::session::Session;
use super::session_settings::{SESSION_SETTING, StartupSettings};
use super::startup_options::read_options;
use crate::drain_phase::DrainPhase;
use crate::routing_table::ServiceRoute;
use crate::security::CallerStream;
use crate::shared::Shared;

/// How long a new session waits for a service that is not known yet.
const SERVICE_TIMEOUT: Duration = Duration::from_secs(1);

/// Serves a caller until it disconnects.
pub async fn serve_caller(stream: TcpStream, shared: Arc<Shared>) {
    if let Err(error) = try_serve(stream, shared).await {
        debug!("a caller's connection ended: {error}");
    }
}

async fn try_serve(stream: TcpStream, shared: Arc<Shared>) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let mut stream = CallerStream::Plain(stream);
    let parameters = loop {
        match read_first_packet(&mut stream, &mut buffer).await? {
            FirstPacket::Startup(parameters) => break parameters,
            FirstPacket::Ssl => stream = answer_ssl(stream, &buffer, &shared).await?,
            FirstPacket::Gss => stream.write_all(b"N").await?,
            FirstPacket::Cancel {
                process_id,
                secret_key,
            } => {
                shared.cancels.cancel(process_id, &secret_key).await;
                return Ok(());
            }
        }
    };
    let user = SmolStr::from(parameters.get("user").cloned().unwrap_or_default());
    let service = parameters
        .get("database")
        .map_or(user.clone(), SmolStr::from);
    let lacks_required_tls = shared.is_tls_required() && !stream.is_tls();
    let (read_half, writer) = stream.into_split();
    let mut io = CallerIo::new(FrameReader::new(read_half, buffer), writer);
    if lacks_required_tls {
        return refuse_session(&mut io, RefusalReason::AuthenticationFailed).await;
    }
    let startup = match start_session(&mut io, &shared, &service, &user, &parameters).await {
        Ok(startup) => startup,
        Err(reason) => return refuse_session(&mut io, reason).await,
    };
    let mut session = Session::new(io, shared, service, user, startup);
    send_session_parameters(&mut session).await?;
    session.serve().await
}

// Bytes that arrived in cleartext with the request must not count as sent over TLS.
async fn answer_ssl(
    stream: CallerStream,
    buffered: &BytesMut,
    shared: &Shared,
) -> Result<CallerStream, FrameError> {
    match (stream, &shared.tls) {
        (CallerStream::Plain(mut stream), Some(tls)) if buffered.is_empty() => {
            stream.write_all(b"S").await?;
            Ok(tls.accept(stream).await?)
        }
        (CallerStream::Plain(mut stream), None) => {
            stream.write_all(b"N").await?;
            Ok(CallerStream::Plain(stream))
        }
        (CallerStream::Plain(_), Some(_)) | (CallerStream::Tls(_), _) => {
            Err(FrameError::Malformed("unexpected TLS request".to_owned()))
        }
    }
}

async fn start_session(
    io: &mut CallerIo,
    shared: &Shared,
    service: &ServiceId,
    user: &str,
    parameters: &BTreeMap<String, String>,
) -> Result<StartupSettings, RefusalReason> {
    // A host that has announced its leaving but is not yet finishing still accepts callers.
    if *shared.phase.borrow() == DrainPhase::Finishing {
        return Err(RefusalReason::ShuttingDown);
    }
    let route = wait_for_route(shared, service).await;
    let route = route.ok_or(RefusalReason::UnknownService)?;
    let secret = shared.settings.token_key.as_bytes();
    io.log_in(&route.config, user, secret)
        .await
        .map_err(|_| RefusalReason::AuthenticationFailed)?;
    read_startup(shared, service, parameters)
}

// A host that has just started learns its services within this time.
async fn wait_for_route(shared: &Shared, service: &ServiceId) -> Option<Arc<ServiceRoute>> {
    let mut table = shared.table.clone();
    let known = table.wait_for(|table| table.services.contains_key(service));
    // A service that does not appear in time is reported as unknown.
    let _ = tokio::time::timeout(SERVICE_TIMEOUT, known).await;
    shared.route(service)
}

fn read_startup(
    shared: &Shared,
    service: &ServiceId,
    parameters: &BTreeMap<String, String>,
) -> Result<StartupSettings, RefusalReason> {
    let mut startup = StartupSettings::default();
    let options = parameters.get("options").map_or("", String::as_str);
    let from_options = read_options(options).ok_or(RefusalReason::ProtocolViolation)?;
    let from_options = from_options
        .iter()
        .map(|(name, value)| (name.as_str(), value.as_str()));
    let from_parameters = parameters
        .iter()
        .filter(|(name, _)| !matches!(name.as_str(), "user" | "database" | "options"))
        .map(|(name, value)| (name.as_str(), value.as_str()));
    for (name, value) in from_options.chain(from_parameters) {
        startup.apply(shared, service, name.trim(), value.trim())?;
    }
    Ok(startup)
}

async fn refuse_session(io: &mut CallerIo, reason: RefusalReason) -> Result<(), FrameError> {
    io.put(&error_response(ErrorFields {
        severity: "FATAL".into(),
        sqlstate: reason.sqlstate().into(),
        message: format!("session refused: {}", reason.as_str()),
        detail: format!("verdict=not_run reason={}", reason.as_str()),
        hint: String::new(),
    }));
    io.flush().await
}

async fn send_session_parameters(session: &mut Session) -> Result<(), FrameError> {
    let token = session.token();
    let io = &mut session.io;
    for (name, value) in [
        ("server_version", "15.0"),
        ("server_encoding", "UTF8"),
        ("client_encoding", "UTF8"),
        ("DateStyle", "ISO, MDY"),
        ("integer_datetimes", "on"),
        ("standard_conforming_strings", "on"),
        (SESSION_SETTING, token.as_str()),
    ] {
        io.put(&parameter_status(name, value));
    }
    io.out.put_u8(backend::BACKEND_KEY_DATA);
    io.out.put_u32(12);
    io.out.put_i32(session.key.process_id);
    io.out.put_i32(session.key.secret);
    io.put(&ready_for_query(b'I'));
    io.flush().await
}
