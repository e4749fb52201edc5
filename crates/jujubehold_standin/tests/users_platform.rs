//! The control port of the stand-in of the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_standin::users_platform::{UsersPlatformSettings, run_users_platform};
use serde_json::{Value, json};
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};

const CONNECT_PAUSE: Duration = Duration::from_millis(10);
const CONNECT_ATTEMPTS: u32 = 500;

struct ControlPort(BufReader<TcpStream>);

impl ControlPort {
    async fn open(address: SocketAddr) -> Self {
        for _ in 0..CONNECT_ATTEMPTS {
            if let Ok(stream) = TcpStream::connect(address).await {
                return Self(BufReader::new(stream));
            }
            actix_rt::time::sleep(CONNECT_PAUSE).await;
        }
        panic!("the control port does not open");
    }

    async fn run(&mut self, command: &str) -> String {
        let sent = self.0.write_all(format!("{command}\n").as_bytes()).await;
        sent.expect("the control port is open");
        let mut answer = String::new();
        let read = self.0.read_line(&mut answer).await;
        read.expect("the control port is open");
        answer.trim_end().to_owned()
    }
}

async fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a free port");
    listener.local_addr().expect("a bound listener")
}

/// A connection to an instance.
struct InstanceConnection(BufReader<TcpStream>);

impl InstanceConnection {
    // Sends one message and returns when it was answered.
    async fn send(&mut self, message: &str) {
        let sent = self.0.write_all(format!("{message}\r\n").as_bytes()).await;
        sent.expect("the connection is open");
        let mut line = String::new();
        while !line.starts_with("READY") {
            line.clear();
            let read = self.0.read_line(&mut line).await;
            assert!(read.is_ok_and(|length| length > 0), "{message}");
        }
    }
}

#[actix_rt::test]
async fn the_control_port_executes_commands_and_explains_errors() {
    let control = free_address().await;
    let settings = UsersPlatformSettings {
        control,
        hosts: 1,
        max_connections: 5,
    };
    actix_rt::spawn(run_users_platform(settings, std::future::pending()));
    let mut port = ControlPort::open(control).await;

    assert!(port.run("store 0").await.parse::<SocketAddr>().is_ok());
    assert!(port.run("promotion").await.parse::<SocketAddr>().is_ok());
    assert_eq!(port.run("store 1").await, "error: there is no host 1");
    assert_eq!(port.run("restore").await, "error: there is no copy");

    assert_eq!(port.run("configure 1 []").await, "ok");
    assert_eq!(port.run("copy").await, "ok");
    assert_eq!(port.run(r#"configure 2 [] {"tenants":[]}"#).await, "ok");
    assert!(port.run("value op/config").await.contains("tenants"));
    assert_eq!(port.run("restore").await, "ok");
    assert!(!port.run("value op/config").await.contains("tenants"));

    assert_eq!(port.run("fault 0 status 503").await, "ok");
    assert_eq!(port.run("fault 0 sometimes").await, "error: unknown fault");
    assert_eq!(port.run("primary").await, "i-a");
    assert_eq!(port.run("connections").await, "i-a=0 i-b=0 i-c=0");
    assert_eq!(port.run("repeated").await, "");
    assert_eq!(port.run("kill i-a").await, "ok");
    assert_eq!(
        port.run("kill i-x").await,
        "error: there is no such instance"
    );
}

// A field that is not reported as it was received can't be compared with what was sent.
#[actix_rt::test]
async fn runs_and_unreadable_messages_are_reported_once_and_unchanged() {
    let control = free_address().await;
    let settings = UsersPlatformSettings {
        control,
        hosts: 1,
        max_connections: 5,
    };
    actix_rt::spawn(run_users_platform(settings, std::future::pending()));
    let mut port = ControlPort::open(control).await;
    assert_eq!(port.run("runs").await, "[]");
    assert_eq!(port.run("unreadable").await, "[]");

    let entry = port.run("value servers/i-a").await;
    let entry: Value = serde_json::from_str(&entry).expect("the entry is JSON");
    let address = entry["address"].as_str().expect("it has an address");
    let stream = TcpStream::connect(address).await.expect("it listens");
    let mut connection = InstanceConnection(BufReader::new(stream));
    for message in [
        "START s someone i-a",
        "QUERY - SET zone  blue \"x\" ",
        "QUERY - PREPARE p WRITE  größe  x ",
        "QUERY - PREPARE p",
        "QUERY a READ x ",
        "QUERY b EXECUTE p",
        "QUERY begin BEGIN",
        "QUERY c EXECUTE p x  y",
    ] {
        connection.send(message).await;
    }

    let runs: Value = serde_json::from_str(&port.run("runs").await).expect("runs are JSON");
    let run = |id: &str, text: &str, prepared: Value, in_transaction: bool| {
        json!({
            "id": id, "instance": "i-a", "connection": 1, "user": "someone", "text": text,
            "prepared": prepared, "values": ["zone= blue \"x\" "], "in_transaction": in_transaction,
        })
    };
    let shape = " größe  x ";
    let prepared =
        |arguments: Value| json!({"is_write": true, "shape": shape, "arguments": arguments});
    let expected = json!([
        run("a", "READ x ", Value::Null, false),
        run("b", "EXECUTE p of  größe  x ", prepared(Value::Null), false),
        run(
            "c",
            "EXECUTE p x  y of  größe  x ",
            prepared("x  y".into()),
            true
        ),
    ]);
    assert_eq!(runs, expected);
    assert_eq!(port.run("runs").await, "[]");
    assert_eq!(port.run("unreadable").await, r#"["PREPARE p"]"#);
}
