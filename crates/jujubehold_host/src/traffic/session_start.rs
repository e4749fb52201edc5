//! The start of a caller's session.

use std::collections::BTreeMap;
use std::sync::Arc;

use bytes::{BufMut, BytesMut};
use jujubehold_core::prelude::*;
use jujubehold_pg::{
    ErrorFields, FirstPacket, FrameError, backend, error_response, parameter_status,
    read_first_packet, ready_for_query,
};
use log::debug;
use smol_str::SmolStr;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;

use super::caller_io::CallerIo;
use super::session::Session;
use super::session_settings::{SESSION_SETTING, StartupSettings};
use crate::shared::Shared;

/// The authentication message that says that nothing more is asked.
const AUTHENTICATION_OK: &[u8] = &[backend::AUTHENTICATION, 0, 0, 0, 8, 0, 0, 0, 0];

/// Serves one caller until it leaves.
pub async fn serve_caller(stream: TcpStream, shared: Arc<Shared>) {
    if let Err(error) = try_serve(stream, shared).await {
        debug!("a caller's connection ended: {error}");
    }
}

async fn try_serve(mut stream: TcpStream, shared: Arc<Shared>) -> Result<(), FrameError> {
    stream.set_nodelay(true)?;
    let mut buffer = BytesMut::new();
    let parameters = loop {
        match read_first_packet(&mut stream, &mut buffer).await? {
            FirstPacket::Startup(parameters) => break parameters,
            FirstPacket::Ssl | FirstPacket::Gss => stream.write_all(b"N").await?,
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
    let (read_half, writer) = stream.into_split();
    let mut io = CallerIo::new(read_half, writer, buffer);
    if shared.table.borrow().is_leaving {
        return end_start(&mut io, RefusalReason::ShuttingDown).await;
    }
    let startup = match read_startup(&shared, &service, &parameters) {
        Ok(startup) => startup,
        Err(reason) => return end_start(&mut io, reason).await,
    };
    let mut session = Session::new(io, shared, service, user, startup);
    greet(&mut session).await?;
    session.serve().await
}

fn read_startup(
    shared: &Shared,
    service: &ServiceId,
    parameters: &BTreeMap<String, String>,
) -> Result<StartupSettings, RefusalReason> {
    let mut startup = StartupSettings::default();
    let options = parameters.get("options").map_or("", String::as_str);
    let from_options = options
        .split("-c")
        .filter_map(|option| option.trim().split_once('='));
    let from_parameters = parameters
        .iter()
        .filter(|(name, _)| !matches!(name.as_str(), "user" | "database" | "options"))
        .map(|(name, value)| (name.as_str(), value.as_str()));
    for (name, value) in from_options.chain(from_parameters) {
        startup.take(shared, service, name.trim(), value.trim())?;
    }
    Ok(startup)
}

async fn end_start(io: &mut CallerIo, reason: RefusalReason) -> Result<(), FrameError> {
    io.put(&error_response(ErrorFields {
        severity: "FATAL".into(),
        sqlstate: reason.sqlstate().into(),
        message: format!("session refused: {}", reason.as_str()),
        detail: format!("verdict=not_run reason={}", reason.as_str()),
        hint: String::new(),
    }));
    io.flush().await
}

async fn greet(session: &mut Session) -> Result<(), FrameError> {
    let token = session.token();
    let io = &mut session.io;
    io.out.extend_from_slice(AUTHENTICATION_OK);
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
