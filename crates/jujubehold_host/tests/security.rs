//! TLS for callers, mutual TLS between hosts, and the authentication of callers.

#[path = "support/identity.rs"]
mod identity_files;

use std::net::SocketAddr;

use bytes::BytesMut;
use identity_files::{authority, caller_connector, identity};
use jujubehold_core::prelude::*;
use jujubehold_host::security::{
    CallerReadHalf, CallerTls, LoginError, PeerTls, SecurityError, log_in,
};
use jujubehold_pg::{Frame, FrameReader, ScramClient, ScramError, backend};
use jujubehold_settings::TlsSettings;
use jujubehold_wire::kv::kv_client::KvClient;
use jujubehold_wire::kv::kv_server::{Kv, KvServer};
use jujubehold_wire::kv::{
    DeleteRangeRequest, DeleteRangeResponse, PutRequest, PutResponse, RangeRequest, RangeResponse,
    TxnRequest, TxnResponse,
};
use rustls::pki_types::ServerName;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::wrappers::TcpListenerStream;
use tonic::transport::{Endpoint, Server};
use tonic::{Code, Request, Response, Status};

/// The verifier of `pencil`, with the salt of RFC 7677's example.
const VERIFIER: &str = "SCRAM-SHA-256$4096:W22ZaJ0SNY7soEsUEjb6gQ==\
                        $WG5d8oPm3OtcPnkdi4Uo7BkeZkBFzpcXkuLmtbsT4qY=\
                        :wfPLwcE6nTWhTAmQ7tl2KeoiWGPlZqQxSrmfPwDl2dU=";

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await;
    let listener = listener.expect("loopback has free ports");
    let address = listener.local_addr().expect("a listener has an address");
    (listener, address)
}

#[actix_rt::test]
async fn tls_connections_of_callers_work_in_both_directions() {
    let authority = authority();
    let tls = CallerTls::load(&identity("caller", &authority, "greenville-1"));
    let tls = tls.expect("the identity is valid");
    let (listener, address) = listen().await;
    let server = async {
        let (stream, _) = listener.accept().await.expect("the caller connects");
        let stream = tls.accept(stream).await.expect("the handshake succeeds");
        assert!(stream.is_tls());
        let (mut read, mut write) = stream.into_split();
        assert!(matches!(read, CallerReadHalf::Tls(_)));
        let mut asked = [0; 4];
        read.read_exact(&mut asked)
            .await
            .expect("the caller sends its message");
        write
            .write_all(b"pong")
            .await
            .expect("the message is written");
        write.flush().await.expect("the message is sent");
        assert_eq!(&asked, b"ping");
    };
    let caller = async {
        let stream = TcpStream::connect(address).await.expect("the host listens");
        let name = ServerName::try_from("greenville-1").expect("the name is valid");
        let stream = caller_connector(&authority).connect(name, stream).await;
        let mut stream = stream.expect("the handshake succeeds");
        stream
            .write_all(b"ping")
            .await
            .expect("the message is written");
        let mut answer = [0; 4];
        stream
            .read_exact(&mut answer)
            .await
            .expect("the host answers");
        assert_eq!(&answer, b"pong");
    };
    tokio::join!(server, caller);
}

#[test]
fn identity_errors_name_the_file() {
    let authority = authority();
    let good = identity("faults", &authority, "greenville-1");
    let other = identity("faults", &authority, "salisbury-1");
    let missing = TlsSettings {
        key_file: "missing.pem".into(),
        ..good.clone()
    };
    let error = CallerTls::load(&missing).expect_err("the file does not exist");
    assert!(matches!(&error, SecurityError::File { .. }));
    assert!(error.to_string().starts_with("missing.pem: "));
    let swapped = TlsSettings {
        certificate_file: good.key_file.clone(),
        ..good.clone()
    };
    let error = CallerTls::load(&swapped).expect_err("a key is not a certificate");
    assert!(matches!(error, SecurityError::Pem { .. }));
    let mismatched = TlsSettings {
        key_file: other.key_file,
        ..good
    };
    let error = PeerTls::load(&mismatched).expect_err("the key belongs to another host");
    assert!(matches!(error, SecurityError::Identity(_)));
}

/// A server that answers every call with the same status, which shows that the call was accepted.
struct FixedAnswer;

const ANSWER: Code = Code::Unimplemented;

#[tonic::async_trait]
impl Kv for FixedAnswer {
    async fn range(&self, _: Request<RangeRequest>) -> Result<Response<RangeResponse>, Status> {
        Err(Status::new(ANSWER, "range"))
    }

    async fn put(&self, _: Request<PutRequest>) -> Result<Response<PutResponse>, Status> {
        Err(Status::new(ANSWER, "put"))
    }

    async fn delete_range(
        &self,
        _: Request<DeleteRangeRequest>,
    ) -> Result<Response<DeleteRangeResponse>, Status> {
        Err(Status::new(ANSWER, "delete_range"))
    }

    async fn txn(&self, _: Request<TxnRequest>) -> Result<Response<TxnResponse>, Status> {
        Err(Status::new(ANSWER, "txn"))
    }
}

async fn serve(tls: &PeerTls) -> SocketAddr {
    let (listener, address) = listen().await;
    let server = Server::builder()
        .tls_config(tls.server_config())
        .expect("the identity is valid")
        .serve_with_incoming(KvServer::new(FixedAnswer), TcpListenerStream::new(listener));
    actix_rt::spawn(server);
    address
}

/// Whether the server accepts a call through `endpoint`.
async fn is_accepted(endpoint: Endpoint) -> bool {
    let Ok(channel) = endpoint.connect().await else {
        return false;
    };
    let answer = KvClient::new(channel).range(RangeRequest::default()).await;
    answer.expect_err("no call succeeds").code() == ANSWER
}

#[actix_rt::test]
async fn only_hosts_of_the_installation_are_accepted() {
    let own = authority();
    let greenville = PeerTls::load(&identity("peer", &own, "greenville-1"));
    let greenville = greenville.expect("the identity is valid");
    let salisbury = PeerTls::load(&identity("peer", &own, "salisbury-1"));
    let salisbury = salisbury.expect("the identity is valid");
    let stranger = PeerTls::load(&identity("peer-other", &authority(), "salisbury-1"));
    let stranger = stranger.expect("the identity is valid");
    let address = serve(&greenville).await;
    let endpoint =
        || Endpoint::from_shared(format!("https://{address}")).expect("the URI is valid");
    let by = |tls: &PeerTls, host: &str| {
        let config = tls.client_config(&host.into());
        endpoint()
            .tls_config(config)
            .expect("the identity is valid")
    };
    assert!(is_accepted(by(&salisbury, "greenville-1")).await);
    // The certificate is not that of the expected host.
    assert!(!is_accepted(by(&salisbury, "mobile-1")).await);
    // Each side rejects the other's certificate, which another authority issued.
    assert!(!is_accepted(by(&stranger, "greenville-1")).await);
    let clear = Endpoint::from_shared(format!("http://{address}")).expect("the URI is valid");
    assert!(!is_accepted(clear).await);
}

#[actix_rt::test]
async fn calls_without_a_host_certificate_are_rejected() {
    let own = authority();
    let settings = identity("bare", &own, "greenville-1");
    let address = serve(&PeerTls::load(&settings).expect("the identity is valid")).await;
    let config = tonic::transport::ClientTlsConfig::new()
        .domain_name("greenville-1")
        .ca_certificate(tonic::transport::Certificate::from_pem(own.pem()));
    let endpoint = Endpoint::from_shared(format!("https://{address}"))
        .expect("the URI is valid")
        .tls_config(config)
        .expect("the authority is valid");
    assert!(!is_accepted(endpoint).await);
}

fn config(callers: &[(&str, &str)]) -> ServiceConfig {
    ServiceConfig {
        callers: callers
            .iter()
            .map(|(name, verifier)| ((*name).into(), (*verifier).into()))
            .collect(),
        ..ServiceConfig::default()
    }
}

/// Authenticates `user` over an in-memory stream; returns the host's result, and whether the caller
/// received a confirmation.
async fn try_log_in(
    config: &ServiceConfig,
    user: &str,
    password: &str,
) -> (Result<(), LoginError>, bool) {
    let (host, caller) = tokio::io::duplex(4096);
    let host = async move {
        let (read, mut write) = tokio::io::split(host);
        let mut reader = FrameReader::new(read, BytesMut::new());
        log_in(&mut reader, &mut write, config, user, b"the secret").await
    };
    let caller = async move {
        let (read, mut write) = tokio::io::split(caller);
        let mut reader = FrameReader::new(read, BytesMut::new());
        let mut scram = ScramClient::new(password);
        while let Ok(Some(frame)) = reader.read().await {
            if is_ok(&frame) {
                return true;
            }
            let answer = scram.answer(&frame).expect("the host follows the exchange");
            if let Some(answer) = answer {
                write
                    .write_all(answer.bytes())
                    .await
                    .expect("the stream is open");
            }
        }
        false
    };
    tokio::join!(host, caller)
}

fn is_ok(frame: &Frame) -> bool {
    frame.tag() == backend::AUTHENTICATION && frame.body() == [0; 4]
}

#[actix_rt::test]
async fn a_caller_with_the_right_password_is_authenticated() {
    let config = config(&[("clerk", VERIFIER)]);
    let (outcome, is_authenticated) = try_log_in(&config, "clerk", "pencil").await;
    assert!(outcome.is_ok());
    assert!(is_authenticated);
}

#[actix_rt::test]
async fn wrong_passwords_and_unknown_users_fail_in_the_same_way() {
    let config = config(&[("clerk", VERIFIER), ("broken", "not a verifier")]);
    for (user, password) in [("clerk", "pen"), ("eve", "pencil"), ("broken", "pencil")] {
        let (outcome, is_authenticated) = try_log_in(&config, user, password).await;
        assert!(
            matches!(outcome, Err(LoginError::Scram(ScramError::Proof))),
            "{user}: {outcome:?}"
        );
        assert!(!is_authenticated);
    }
}

#[actix_rt::test]
async fn a_service_without_callers_accepts_everyone() {
    let (outcome, is_authenticated) = try_log_in(&config(&[]), "anyone", "").await;
    assert!(outcome.is_ok());
    assert!(is_authenticated);
}
