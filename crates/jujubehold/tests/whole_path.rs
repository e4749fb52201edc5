//! Sends a statement through an entry host to an upstream, each a separate process.

use std::fmt::Write;
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use jujubehold_lab::cluster::free_address;
use tokio_postgres::{NoTls, SimpleQueryMessage};

/// How long a test waits for a process to become ready before it fails.
const START_TIMEOUT: Duration = Duration::from_mins(1);

/// A process that is killed when dropped.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

fn spawn(arguments: &[&str]) -> Process {
    let child = Command::new(env!("CARGO_BIN_EXE_jujubehold"))
        .args(arguments)
        .stdout(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("the jujubehold binary starts");
    Process(child)
}

fn write(directory: &Path, name: &str, text: &str) -> String {
    let path = directory.join(name);
    std::fs::write(&path, text).expect("the test's directory can be written");
    path.to_str().expect("the path is text").to_owned()
}

fn service_text(instances: &[SocketAddr]) -> String {
    let mut text = "[service]\nname = shares\ngeneration = 0\nconfirm = replica\n".to_owned();
    for (index, address) in instances.iter().enumerate() {
        let domain = ["delta", "piedmont", "gulf"][index];
        let _ = write!(
            text,
            "[instance i{index}]
address = {address}
domain = {domain}
region = south
"
        );
    }
    text
}

fn host_text(name: &str, domain: &str, caller: SocketAddr, platform: SocketAddr) -> String {
    let peer = free_address().expect("a port is free");
    format!(
        "[host]\nname = {name}\ndomain = {domain}\nregion = south\ncaller_address = {caller}\n\
         peer_address = {peer}\nplatform_addresses = {platform}\n"
    )
}

/// Runs `sql` in a new session at each attempt until it succeeds, and returns the first column.
async fn run_until_ok(host: SocketAddr, sql: &str) -> Vec<String> {
    let deadline = Instant::now() + START_TIMEOUT;
    let config = format!(
        "host={} port={} user=clerk dbname=shares",
        host.ip(),
        host.port()
    );
    loop {
        if let Ok((client, connection)) = tokio_postgres::connect(&config, NoTls).await {
            tokio::spawn(connection);
            if let Ok(messages) = client.simple_query(sql).await {
                return messages.iter().filter_map(first_column).collect();
            }
        }
        assert!(
            Instant::now() < deadline,
            "{sql:?} did not succeed at {host}"
        );
        tokio::time::sleep(Duration::from_millis(100)).await;
    }
}

fn first_column(message: &SimpleQueryMessage) -> Option<String> {
    match message {
        SimpleQueryMessage::Row(row) => row.get(0).map(str::to_owned),
        _ => None,
    }
}

#[actix_rt::test]
async fn a_write_on_one_host_is_read_on_another() {
    let directory = std::env::temp_dir().join(format!("jujubehold-path-{}", std::process::id()));
    std::fs::create_dir_all(&directory).expect("a directory can be created");
    let address = || free_address().expect("a port is free");
    let platform = address();
    let instances = [address(), address(), address()];
    let hosts = [address(), address()];

    let mut processes = vec![spawn(&[
        "standin-platform",
        "--listen",
        &platform.to_string(),
    ])];
    for (index, instance) in instances.iter().enumerate() {
        let (name, listen) = (format!("i{index}"), instance.to_string());
        let primary = instances[0].to_string();
        let mut arguments = vec!["standin-database", "--name", &name, "--listen", &listen];
        if index > 0 {
            arguments.extend(["--primary", &primary]);
        }
        processes.push(spawn(&arguments));
    }
    let service = write(&directory, "shares.ini", &service_text(&instances));
    submit_until_ok(&service, platform);
    for (index, host) in hosts.iter().enumerate() {
        let name = format!("host-{index}");
        let domain = ["delta", "piedmont"][index];
        let text = host_text(&name, domain, *host, platform);
        let file = write(&directory, &format!("{name}.ini"), &text);
        processes.push(spawn(&["host", "--settings", &file]));
    }

    run_until_ok(hosts[0], "CREATE TABLE IF NOT EXISTS issue (id INTEGER)").await;
    run_until_ok(hosts[0], "INSERT INTO issue VALUES (7)").await;
    let ids = run_until_ok(hosts[1], "SELECT id FROM issue").await;
    assert!(!ids.is_empty() && ids.iter().all(|id| id == "7"), "{ids:?}");
    drop(processes);
    let _ = std::fs::remove_dir_all(directory);
}

fn submit_until_ok(service: &str, platform: SocketAddr) {
    let deadline = Instant::now() + START_TIMEOUT;
    let platform = platform.to_string();
    loop {
        let mut child = spawn(&["submit", "--platform", &platform, service]);
        if child.0.wait().is_ok_and(|status| status.success()) {
            return;
        }
        assert!(
            Instant::now() < deadline,
            "the configuration was not accepted"
        );
        std::thread::sleep(Duration::from_millis(100));
    }
}
