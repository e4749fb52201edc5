//! An entry host that does not own an instance borrows a connection from one that does.

#[path = "support/control.rs"]
mod control;

use std::net::Ipv4Addr;
use std::time::Duration;

use control::{Installation, RunningHost, SERVICE, wait_until};
use jujubehold_host::peer::{
    BorrowedConnection, ForwardError, ForwardTarget, PeerConnector, peer_incoming,
};
use jujubehold_host::routing_table::Owner;
use jujubehold_pg::{backend, query};
use jujubehold_wire::peer;
use jujubehold_wire::peer::peer_client::PeerClient;
use tokio::net::{TcpListener, TcpStream};
use tokio_stream::StreamExt;

fn target() -> ForwardTarget {
    ForwardTarget {
        request_id: "request-1".into(),
        service: SERVICE.into(),
        instance: "a".into(),
        term: 0,
        wait: Duration::from_secs(5),
    }
}

async fn started() -> (Installation, RunningHost) {
    let installation = Installation::start().await;
    let host = RunningHost::start(installation.settings("host-1", "delta")).await;
    wait_until("the primary is known", || host.primary().is_some()).await;
    (installation, host)
}

/// Runs a query and returns the tags of the response's messages.
async fn tags_of(borrowed: &mut BorrowedConnection, sql: &str) -> Vec<u8> {
    borrowed
        .send(query(sql).bytes())
        .await
        .expect("the message is sent");
    let mut tags = Vec::new();
    loop {
        let frame = borrowed.receive().await.expect("a response arrives");
        tags.push(frame.tag());
        if frame.tag() == backend::READY_FOR_QUERY {
            return tags;
        }
    }
}

#[actix_rt::test]
async fn a_borrowed_connection_carries_a_whole_transaction() {
    let (installation, host) = started().await;
    let mut borrowed =
        BorrowedConnection::open_at(&PeerConnector::default(), &host.target(), &target())
            .await
            .expect("the owner lends a connection");
    for sql in [
        "CREATE TABLE casks (id INTEGER)",
        "BEGIN",
        "INSERT INTO casks (id) VALUES (1)",
        "COMMIT",
    ] {
        let tags = tags_of(&mut borrowed, sql).await;
        assert!(tags.contains(&backend::COMMAND_COMPLETE), "{sql}: {tags:?}");
    }
    borrowed.finish().await;
    // The owner lends the same connection again.
    let before = installation.instances[0].connection_count();
    let mut borrowed =
        BorrowedConnection::open_at(&PeerConnector::default(), &host.target(), &target())
            .await
            .expect("the owner lends a connection");
    let tags = tags_of(&mut borrowed, "SELECT id FROM casks").await;
    assert!(tags.contains(&backend::DATA_ROW));
    assert!(installation.instances[0].connection_count() <= before + 1);
}

#[actix_rt::test]
async fn dropping_a_borrowed_connection_rolls_its_transaction_back() {
    let (installation, host) = started().await;
    let mut borrowed =
        BorrowedConnection::open_at(&PeerConnector::default(), &host.target(), &target())
            .await
            .expect("the owner lends a connection");
    tags_of(&mut borrowed, "CREATE TABLE casks (id INTEGER)").await;
    tags_of(&mut borrowed, "BEGIN").await;
    tags_of(&mut borrowed, "INSERT INTO casks (id) VALUES (1)").await;
    let with_borrowed = installation.instances[0].connection_count();
    drop(borrowed);
    let is_closed = || installation.instances[0].connection_count() < with_borrowed;
    wait_until("the connection is closed", is_closed).await;
    let mut borrowed =
        BorrowedConnection::open_at(&PeerConnector::default(), &host.target(), &target())
            .await
            .expect("the owner lends a connection");
    let tags = tags_of(&mut borrowed, "SELECT id FROM casks").await;
    assert!(!tags.contains(&backend::DATA_ROW), "{tags:?}");
}

#[actix_rt::test]
async fn the_second_owner_lends_when_the_first_is_unreachable() {
    let (_installation, host) = started().await;
    let closed_listener = std::net::TcpListener::bind("127.0.0.1:0").expect("a port is free");
    let address = closed_listener.local_addr().expect("the listener is bound");
    drop(closed_listener);
    let owner = |host: &str, peer_address| Owner {
        host: host.into(),
        peer_address,
        is_local: false,
    };
    let owners = [owner("gone", address), owner("host-1", host.peer_address)];
    let mut borrowed = BorrowedConnection::open(&PeerConnector::default(), &owners, &target())
        .await
        .expect("the owner lends a connection");
    let tags = tags_of(&mut borrowed, "SELECT 1").await;
    assert!(tags.contains(&backend::DATA_ROW));
}

#[actix_rt::test]
async fn an_unknown_service_is_refused_before_anything_is_sent() {
    let (_installation, host) = started().await;
    let target = ForwardTarget {
        service: "no-such".into(),
        ..target()
    };
    let refused =
        BorrowedConnection::open_at(&PeerConnector::default(), &host.target(), &target).await;
    let Err(ForwardError::Refused { reason, .. }) = refused else {
        panic!("the owner does not refuse an unknown service");
    };
    assert_eq!(reason, "unknown_service");
}

#[actix_rt::test]
async fn a_duplicate_message_breaks_the_stream_and_closes_the_connection() {
    let (installation, host) = started().await;
    let uri = format!("http://{}", host.peer_address);
    let mut client = PeerClient::connect(uri).await.expect("the host answers");
    let (requests, receiver) = tokio::sync::mpsc::channel(8);
    let request = |kind| peer::ForwardRequest { kind: Some(kind) };
    let open = peer::ForwardOpen {
        request_id: "request-2".to_owned(),
        service: SERVICE.to_owned(),
        instance: "a".to_owned(),
        term: 0,
        wait_ms: 5000,
    };
    let begin = peer::ForwardFrames {
        sequence: 1,
        frames: query("CREATE TABLE staves (id INTEGER)").bytes().clone(),
    };
    for kind in [
        peer::forward_request::Kind::Open(open),
        peer::forward_request::Kind::Frames(begin.clone()),
        peer::forward_request::Kind::Frames(begin),
    ] {
        requests
            .send(request(kind))
            .await
            .expect("the message is sent");
    }
    let stream = tokio_stream::wrappers::ReceiverStream::new(receiver);
    let response = client.forward(stream).await.expect("the stream starts");
    let mut answers = response.into_inner();
    let mut is_broken = false;
    while let Some(answer) = answers
        .message()
        .await
        .expect("the stream ends without an error")
    {
        is_broken |= matches!(answer.kind, Some(peer::forward_response::Kind::Broken(_)));
    }
    assert!(is_broken);
    let is_closed = || installation.instances[0].connection_count() <= 3;
    wait_until("only probes and replicas are connected", is_closed).await;
}

#[actix_rt::test]
async fn idle_connections_to_a_leaving_instance_are_closed() {
    let (installation, host) = started().await;
    let target = ForwardTarget {
        instance: "b".into(),
        ..target()
    };
    let connector = PeerConnector::default();
    let borrowed = BorrowedConnection::open_at(&connector, &host.target(), &target).await;
    let mut borrowed = borrowed.expect("the owner lends a connection");
    tags_of(&mut borrowed, "SELECT 1").await;
    borrowed.finish().await;
    wait_until("the host is ready", || host.is_ready()).await;
    wait_until("the connection is back in the pool", || {
        host.idle_count("b") == 1
    })
    .await;
    let mut config = installation.config(2);
    if let Some(instance) = config.instances.get_mut("b") {
        instance.state = jujubehold_core::prelude::InstanceState::Leaving;
    }
    installation.submit(&config).await;
    wait_until("the idle connection is closed", || {
        host.idle_count("b") == 0
    })
    .await;
    // The host lends no further connection to the instance.
    let refused = BorrowedConnection::open_at(&connector, &host.target(), &target).await;
    assert!(matches!(refused, Err(ForwardError::Refused { reason, .. }) if reason == "leaving"));
}

#[actix_rt::test]
async fn idle_connections_are_closed_when_another_host_owns_the_instance() {
    let (installation, first) = started().await;
    let connector = PeerConnector::default();
    let borrowed = BorrowedConnection::open_at(&connector, &first.target(), &target()).await;
    let mut borrowed = borrowed.expect("the owner lends a connection");
    tags_of(&mut borrowed, "SELECT 1").await;
    borrowed.finish().await;
    wait_until("the host is ready", || first.is_ready()).await;
    wait_until("the connection is back in the pool", || {
        first.idle_count("a") == 1
    })
    .await;
    let mut others: Vec<RunningHost> = Vec::new();
    // Adds hosts until the first one no longer owns the instance.
    let is_owner = || {
        let route = first.route();
        route.is_some_and(|route| route.is_owned_here(&"a".into()))
    };
    for number in 2..20 {
        let settings = jujubehold_settings::HostSettings {
            peer_seeds: vec![first.seed()],
            ..installation.settings(&format!("host-{number}"), "delta")
        };
        let other = RunningHost::start(settings).await;
        wait_until("the other host knows the group", || {
            other.is_ready() || other.route().is_some()
        })
        .await;
        wait_until("the first host knows two owners", || {
            first
                .route()
                .is_some_and(|route| route.owners["a"].len() == 2)
        })
        .await;
        others.push(other);
        if !is_owner() {
            break;
        }
    }
    wait_until("other hosts own the instance", || !is_owner()).await;
    wait_until("the idle connection is closed", || {
        first.idle_count("a") == 0
    })
    .await;
}

#[actix_rt::test]
async fn connections_of_other_hosts_have_nodelay_set() {
    let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0))
        .await
        .expect("a port is free");
    let address = listener.local_addr().expect("the listener is bound");
    let mut incoming = peer_incoming(listener);
    let _stream = TcpStream::connect(address)
        .await
        .expect("the connection opens");
    let accepted = incoming.next().await.expect("a connection arrives");
    let accepted = accepted.expect("the connection is accepted");
    assert!(accepted.nodelay().expect("the option can be read"));
}
