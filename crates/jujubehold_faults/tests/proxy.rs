//! Tests of the effect of each fault on connections and datagrams.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jujubehold_faults::{
    Direction, FaultError, FaultProxy, FaultSettings, LinkFaults, Protocol, RouteSettings,
};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream, UdpSocket};

const ROUTE: &str = "echo";
/// The time after which a test that waits for bytes fails.
const READ_TIMEOUT: Duration = Duration::from_secs(20);
/// How long a test checks that no bytes arrive.
const QUIET_PERIOD: Duration = Duration::from_millis(100);

fn loopback() -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 0))
}

/// Starts a server that echoes what it receives.
async fn echo_server() -> SocketAddr {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let address = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        while let Ok((mut stream, _)) = listener.accept().await {
            actix_rt::spawn(async move {
                let (mut reader, mut writer) = stream.split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

async fn proxy(protocol: Protocol, target: SocketAddr) -> FaultProxy {
    let route = RouteSettings {
        name: ROUTE.into(),
        protocol,
        listen: loopback(),
        target,
    };
    let settings = FaultSettings {
        seed: 7,
        control: Some(loopback()),
        routes: vec![route],
    };
    FaultProxy::start(settings).await.unwrap()
}

async fn connect(proxy: &FaultProxy) -> TcpStream {
    TcpStream::connect(proxy.address(ROUTE).unwrap())
        .await
        .unwrap()
}

/// Sends a byte and waits for its echo.
async fn round_trip(stream: &mut TcpStream) -> std::io::Result<u8> {
    stream.write_all(b"x").await?;
    read(stream).await
}

async fn read(stream: &mut TcpStream) -> std::io::Result<u8> {
    tokio::time::timeout(READ_TIMEOUT, stream.read_u8())
        .await
        .expect("no bytes arrived in time")
}

async fn is_quiet(stream: &mut TcpStream) -> bool {
    tokio::time::timeout(QUIET_PERIOD, stream.read_u8())
        .await
        .is_err()
}

#[actix_rt::test]
async fn a_route_without_faults_forwards_everything() {
    let proxy = proxy(Protocol::Tcp, echo_server().await).await;
    let mut stream = connect(&proxy).await;
    let sent: Vec<u8> = (0..1_000_000u32)
        .map(|number| (number % 251) as u8)
        .collect();
    let (mut reader, mut writer) = stream.split();
    let mut received = vec![0; sent.len()];
    let write = writer.write_all(&sent);
    let (_, written) = tokio::join!(reader.read_exact(&mut received), write);
    written.unwrap();
    assert!(received == sent);
    writer.shutdown().await.unwrap();
    assert_eq!(reader.read(&mut received).await.unwrap(), 0);
}

#[actix_rt::test]
async fn a_delay_applies_to_each_direction() {
    let proxy = proxy(Protocol::Tcp, echo_server().await).await;
    let mut stream = connect(&proxy).await;
    let delay = Duration::from_millis(60);
    let faults = LinkFaults {
        delay,
        jitter: Duration::from_millis(5),
        ..LinkFaults::default()
    };
    proxy.set_both(ROUTE, &faults).unwrap();
    let start = std::time::Instant::now();
    assert_eq!(round_trip(&mut stream).await.unwrap(), b'x');
    assert!(start.elapsed() >= delay * 2);
}

#[actix_rt::test]
async fn a_stall_delays_bytes_and_loses_none() {
    let proxy = proxy(Protocol::Tcp, echo_server().await).await;
    let mut stream = connect(&proxy).await;
    let stalled = LinkFaults {
        is_stalled: true,
        ..LinkFaults::default()
    };
    for direction in [Direction::Up, Direction::Down] {
        proxy.set(ROUTE, direction, stalled.clone()).unwrap();
        stream.write_all(b"x").await.unwrap();
        assert!(is_quiet(&mut stream).await);
        proxy.heal(ROUTE).unwrap();
        assert_eq!(read(&mut stream).await.unwrap(), b'x');
    }
}

#[actix_rt::test]
async fn a_connection_that_lost_bytes_is_reset_after_the_cut() {
    let proxy = proxy(Protocol::Tcp, echo_server().await).await;
    let mut stream = connect(&proxy).await;
    let mut idle = connect(&proxy).await;
    assert!(round_trip(&mut stream).await.is_ok());
    assert!(round_trip(&mut idle).await.is_ok());
    proxy.cut(ROUTE).unwrap();
    stream.write_all(b"x").await.unwrap();
    assert!(is_quiet(&mut stream).await);
    proxy.heal(ROUTE).unwrap();
    assert!(read(&mut stream).await.is_err());
    assert_eq!(round_trip(&mut idle).await.unwrap(), b'x');
}

#[actix_rt::test]
async fn a_half_open_route_accepts_connections_and_forwards_nothing() {
    let proxy = proxy(Protocol::Tcp, echo_server().await).await;
    proxy.set_half_open(ROUTE, true).unwrap();
    let mut stream = connect(&proxy).await;
    stream.write_all(b"x").await.unwrap();
    assert!(is_quiet(&mut stream).await);
    proxy.heal(ROUTE).unwrap();
    assert_eq!(read(&mut stream).await.unwrap(), b'x');
}

#[actix_rt::test]
async fn resets_and_refusals_end_connections() {
    let proxy = proxy(Protocol::Tcp, echo_server().await).await;
    let mut stream = connect(&proxy).await;
    assert!(round_trip(&mut stream).await.is_ok());
    proxy.reset(ROUTE).unwrap();
    assert!(read(&mut stream).await.is_err());
    let mut stream = connect(&proxy).await;
    assert!(round_trip(&mut stream).await.is_ok());
    proxy.set_refusing(ROUTE, true).unwrap();
    // The connection attempt itself may already fail with the reset.
    if let Ok(mut refused) = TcpStream::connect(proxy.address(ROUTE).unwrap()).await {
        assert!(round_trip(&mut refused).await.is_err());
    }
    assert!(round_trip(&mut stream).await.is_ok());
}

#[actix_rt::test]
async fn a_connection_is_reset_when_it_exceeds_its_byte_limit() {
    let proxy = proxy(Protocol::Tcp, echo_server().await).await;
    let mut stream = connect(&proxy).await;
    let faults = LinkFaults {
        reset_after_bytes: Some(2),
        ..LinkFaults::default()
    };
    proxy.set(ROUTE, Direction::Down, faults).unwrap();
    assert!(round_trip(&mut stream).await.is_ok());
    assert!(round_trip(&mut stream).await.is_ok());
    assert!(round_trip(&mut stream).await.is_err());
}

/// Sends numbered datagrams through a route with `faults` to an echo server and returns the echoed
/// numbers.
async fn echo_datagrams(faults: LinkFaults, count: u8) -> Vec<u8> {
    let server = UdpSocket::bind(loopback()).await.unwrap();
    let target = server.local_addr().unwrap();
    actix_rt::spawn(async move {
        let mut buffer = [0; 16];
        while let Ok((length, sender)) = server.recv_from(&mut buffer).await {
            let _ = server.send_to(&buffer[..length], sender).await;
        }
    });
    let proxy = proxy(Protocol::Udp, target).await;
    proxy.set(ROUTE, Direction::Up, faults).unwrap();
    let socket = UdpSocket::bind(loopback()).await.unwrap();
    socket.connect(proxy.address(ROUTE).unwrap()).await.unwrap();
    for number in 0..count {
        socket.send(&[number]).await.unwrap();
        tokio::task::yield_now().await;
    }
    let mut received = Vec::new();
    let mut buffer = [0; 16];
    while let Ok(length) = tokio::time::timeout(QUIET_PERIOD * 10, socket.recv(&mut buffer)).await {
        received.extend_from_slice(&buffer[..length.unwrap()]);
    }
    received
}

#[actix_rt::test]
async fn datagrams_are_lost_duplicated_and_reordered() {
    assert!(
        echo_datagrams(
            LinkFaults {
                loss_per_mille: 1000,
                ..Default::default()
            },
            5
        )
        .await
        .is_empty()
    );
    let mut doubled = echo_datagrams(
        LinkFaults {
            duplicate_per_mille: 1000,
            ..Default::default()
        },
        3,
    )
    .await;
    doubled.sort_unstable();
    assert_eq!(doubled, [0, 0, 1, 1, 2, 2]);
    let late = Duration::from_millis(50);
    let overtaken = echo_datagrams(
        LinkFaults {
            late_per_mille: 500,
            late,
            ..Default::default()
        },
        20,
    )
    .await;
    assert_eq!(overtaken.len(), 20);
    assert!(!overtaken.is_sorted());
}

#[actix_rt::test]
async fn the_same_seed_loses_the_same_datagrams() {
    let faults = LinkFaults {
        loss_per_mille: 500,
        ..LinkFaults::default()
    };
    let mut first = echo_datagrams(faults.clone(), 40).await;
    let mut second = echo_datagrams(faults, 40).await;
    first.sort_unstable();
    second.sort_unstable();
    assert!(!first.is_empty() && first.len() < 40);
    assert_eq!(first, second);
}

#[actix_rt::test]
async fn the_control_port_opens_and_changes_routes() {
    let target = echo_server().await;
    let proxy = proxy(Protocol::Tcp, target).await;
    let control = TcpStream::connect(proxy.control_address().unwrap())
        .await
        .unwrap();
    let (reader, mut writer) = control.into_split();
    let mut lines = BufReader::new(reader).lines();
    let commands = format!(
        "route second tcp 127.0.0.1:0 {target}\nset second up cut=on delay_ms=5\n\
         set second up speed=1\nheal\nreset third\nfly\n"
    );
    writer.write_all(commands.as_bytes()).await.unwrap();
    let mut answers = Vec::new();
    for _ in 0..6 {
        answers.push(lines.next_line().await.unwrap().unwrap());
    }
    let opened: SocketAddr = answers[0].parse().unwrap();
    assert_eq!(proxy.address("second").unwrap(), opened);
    assert_eq!(answers[1], "ok");
    assert_eq!(
        answers[2],
        "error: speed=1 is no fault; see docs/notes/fault-proxy.md"
    );
    assert_eq!(answers[3], "ok");
    assert_eq!(answers[4], "error: no route is named third");
    assert_eq!(answers[5], "error: unknown command");
    assert_eq!(
        proxy.cut("third"),
        Err(FaultError::UnknownRoute("third".to_owned()))
    );
    let mut stream = TcpStream::connect(opened).await.unwrap();
    assert!(round_trip(&mut stream).await.is_ok());
}

#[actix_rt::test]
async fn bytes_sent_before_a_reset_are_delivered_before_it() {
    let listener = TcpListener::bind(loopback()).await.unwrap();
    let target = listener.local_addr().unwrap();
    actix_rt::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.readable().await.unwrap();
        stream.write_all(b"notice").await.unwrap();
        // Unread bytes turn the close into a reset.
        drop(stream);
    });
    let proxy = proxy(Protocol::Tcp, target).await;
    let late = LinkFaults {
        delay: Duration::from_millis(50),
        ..LinkFaults::default()
    };
    proxy.set(ROUTE, Direction::Down, late).unwrap();
    let mut stream = connect(&proxy).await;
    stream.write_all(b"request").await.unwrap();
    tokio::time::sleep(Duration::from_millis(20)).await;
    // This write meets the reset while the proxy still delays the notice.
    stream.write_all(b"request").await.unwrap();
    let mut notice = [0; 6];
    stream.read_exact(&mut notice).await.unwrap();
    assert_eq!(&notice, b"notice");
}
