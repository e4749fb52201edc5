//! Complete hosts with TLS and callers' passwords.

#[path = "support/control.rs"]
mod control;
#[path = "support/identity.rs"]
mod identity_files;

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use bytes::BytesMut;
use control::{HANG_LIMIT, Installation, RunningHost, SERVICE, wait_until};
use identity_files::{Authority, authority, caller_connector, identity};
use jujubehold_core::prelude::*;
use jujubehold_host::peer::{BorrowedConnection, ForwardTarget, PeerConnector};
use jujubehold_host::{Host, HostError};
use jujubehold_pg::{FrameReader, backend, startup_message};
use jujubehold_settings::HostSettings;
use rustls::pki_types::ServerName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio_postgres::error::SqlState;
use tokio_postgres::{Client, Error, NoTls};

/// The verifier of `pencil`, with the salt of RFC 7677's example.
const VERIFIER: &str = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==\
                        $WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=\
                        :wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=";
/// The TLS request: its length, followed by its code.
const SSL_REQUEST: [u8; 8] = [0, 0, 0, 8, 4, 210, 22, 47];

/// Returns the settings with a TLS identity for the host's name.
fn with_tls(test: &str, authority: &Authority, settings: HostSettings) -> HostSettings {
    HostSettings {
        tls: Some(identity(test, authority, &settings.host)),
        ..settings
    }
}

async fn log_in(host: &RunningHost, user: &str, password: &str) -> Result<Client, Error> {
    let port = host.caller_address.port();
    let text =
        format!("host=127.0.0.1 port={port} user={user} password={password} dbname={SERVICE}");
    let (client, connection) = tokio_postgres::connect(&text, NoTls).await?;
    actix_rt::spawn(async move {
        // The client's calls report a lost connection.
        let _ = connection.await;
    });
    Ok(client)
}

/// Runs a write, and retries it while it is refused with the verdict `not_run`.
async fn write(client: &Client, sql: &str) -> Result<(), Error> {
    let writing = async {
        loop {
            let error = match client.batch_execute(sql).await {
                Ok(()) => return Ok(()),
                Err(error) => error,
            };
            let detail = error.as_db_error().and_then(|error| error.detail());
            if !detail.is_some_and(|detail| detail.starts_with("verdict=not_run")) {
                return Err(error);
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let written = tokio::time::timeout(HANG_LIMIT, writing).await;
    written.expect("the write is accepted in time")
}

fn code(outcome: Result<Client, Error>) -> Option<SqlState> {
    outcome.err()?.code().cloned()
}

#[actix_rt::test]
async fn hosts_forward_over_tls_for_callers_with_passwords() {
    let authority = authority();
    let installation = Installation::start().await;
    let mut config = installation.config(2);
    config.callers.insert("clerk".into(), VERIFIER.into());
    config.confirm = Confirm::None;
    installation.submit(&config).await;
    let owner = with_tls(
        "hosts",
        &authority,
        installation.settings("host-1", "delta"),
    );
    let owner = RunningHost::start(owner).await;
    let entry = HostSettings {
        peer_seeds: vec![owner.seed()],
        ..installation.settings("host-2", "piedmont")
    };
    let entry = RunningHost::start(with_tls("hosts", &authority, entry)).await;
    wait_until("the entry host knows the primary's owner", || {
        let route = entry.route();
        route.is_some_and(|route| {
            let owners = route.owners.get("a");
            route.view.primary.as_deref() == Some("a")
                && owners.is_some_and(|owners| owners.iter().any(|owner| !owner.is_local))
        })
    })
    .await;

    let clerk = log_in(&entry, "clerk", "pencil").await;
    let clerk = clerk.expect("the password is right");
    let written = write(&clerk, "CREATE TABLE casks (id INTEGER)").await;
    written.expect("the owner lends a connection over TLS");

    for (user, password) in [("clerk", "pen"), ("eve", "pencil")] {
        let refused = log_in(&entry, user, password).await;
        assert_eq!(code(refused), Some(SqlState::INVALID_PASSWORD), "{user}");
    }
    let target = ForwardTarget {
        request_id: "request-1".into(),
        service: SERVICE.into(),
        instance: "a".into(),
        term: 0,
        wait: Duration::from_secs(1),
    };
    let cleartext =
        BorrowedConnection::open_at(&PeerConnector::default(), &owner.target(), &target).await;
    assert!(
        cleartext.is_err(),
        "a host without a certificate was accepted"
    );
}

fn exposed(settings: HostSettings) -> HostSettings {
    HostSettings {
        caller_address: SocketAddr::from((Ipv4Addr::UNSPECIFIED, 0)),
        ..settings
    }
}

#[actix_rt::test]
async fn a_host_off_loopback_accepts_callers_over_tls_only() {
    let authority = authority();
    let installation = Installation::start().await;
    let settings = exposed(installation.settings("host-1", "delta"));
    let host = RunningHost::start(with_tls("exposed", &authority, settings)).await;
    wait_until("the primary is known", || host.primary().is_some()).await;

    let cleartext = log_in(&host, "clerk", "none").await;
    assert_eq!(code(cleartext), Some(SqlState::INVALID_PASSWORD));

    let over_tls = async {
        let address = (Ipv4Addr::LOCALHOST, host.caller_address.port());
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&SSL_REQUEST).await?;
        assert_eq!(stream.read_u8().await?, b'S');
        let name = ServerName::try_from("host-1").expect("the name is valid");
        let mut stream = caller_connector(&authority).connect(name, stream).await?;
        let parameters = [("user", "clerk"), ("database", SERVICE)]
            .map(|(name, value)| (name.to_owned(), value.to_owned()));
        let startup = startup_message(BTreeMap::from(parameters));
        stream.write_all(&startup).await?;
        let mut reader = FrameReader::new(stream, BytesMut::new());
        Ok::<_, std::io::Error>(reader.read().await)
    };
    let first = tokio::time::timeout(HANG_LIMIT, over_tls).await;
    let first = first.expect("the host answers").expect("TLS works");
    let first = first
        .expect("the response is a valid message")
        .expect("the connection stays open");
    assert_eq!(
        (first.tag(), first.body()),
        (backend::AUTHENTICATION, &[0; 4][..])
    );
}

#[actix_rt::test]
async fn a_host_without_tls_off_loopback_does_not_start() {
    let settings = exposed(HostSettings::default());
    let refused = Host::start(settings).await;
    assert!(matches!(refused, Err(HostError::Exposed { .. })));
}
