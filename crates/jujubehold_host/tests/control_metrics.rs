//! The metrics page.

#[path = "support/control.rs"]
mod control;

use std::net::{Ipv4Addr, SocketAddr};

use control::{Installation, RunningHost, SERVICE, wait_until};
use jujubehold_settings::HostSettings;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

async fn get(address: SocketAddr, path: &str) -> String {
    let mut stream = TcpStream::connect(address)
        .await
        .expect("the metrics page is served");
    let request = format!("GET {path} HTTP/1.1\r\nHost: test\r\n\r\n");
    stream
        .write_all(request.as_bytes())
        .await
        .expect("the request is sent");
    let mut answer = String::new();
    stream
        .read_to_string(&mut answer)
        .await
        .expect("the response is UTF-8");
    answer
}

#[actix_rt::test]
async fn the_page_shows_what_control_costs() {
    let installation = Installation::start().await;
    let settings = HostSettings {
        metrics_address: Some(SocketAddr::from((Ipv4Addr::LOCALHOST, 0))),
        ..installation.settings("host-1", "delta")
    };
    let host = RunningHost::start(settings).await;
    wait_until("the primary is known", || host.primary().is_some()).await;
    let address = host.metrics_address.expect("the host has a metrics page");
    let page = get(address, "/metrics").await;
    assert!(page.starts_with("HTTP/1.1 200 OK"));
    for name in [
        "jujubehold_platform_calls_total{kind=\"range\"}",
        "jujubehold_platform_calls_total{kind=\"watch\"}",
        "jujubehold_failover_actions_total{kind=\"probe\"}",
        "process_cpu_seconds_total",
        "process_resident_memory_bytes",
    ] {
        assert!(page.contains(name), "{name} is missing from {page}");
    }
    let client = host.connect().await;
    client
        .simple_query("CREATE TABLE casks (id INTEGER)")
        .await
        .expect("the primary creates the table");
    let page = get(address, "/metrics").await;
    for waited_for in ["slot", "connection"] {
        let name =
            format!("jujubehold_wait_seconds_count{{service=\"{SERVICE}\",for=\"{waited_for}\"}}");
        let count = page.lines().find_map(|line| line.strip_prefix(&name));
        let count = count.and_then(|count| count.trim().parse::<u64>().ok());
        // The queries on which acknowledgements depend use connections too.
        assert!(count >= Some(1), "{name} is {count:?}");
    }
    assert!(get(address, "/other").await.starts_with("HTTP/1.1 404"));
}
