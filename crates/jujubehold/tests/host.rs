//! `jujubehold host` logs JSON lines and exits cleanly on SIGTERM.

mod support;

use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use support::jujubehold;

/// A generous limit that only detects a hang.
const START_TIMEOUT: Duration = Duration::from_mins(1);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("a listener has an address")
}

fn write_settings(name: &str, text: &str) -> PathBuf {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join(name);
    std::fs::write(&file, text).expect("the target directory can be written");
    file
}

fn start_host(settings: &PathBuf) -> Child {
    Command::new(env!("CARGO_BIN_EXE_jujubehold"))
        .arg("host")
        .arg("--settings")
        .arg(settings)
        .env("JUJUBEHOLD_LOG", "info")
        .stderr(Stdio::piped())
        .spawn()
        .expect("the program starts")
}

fn wait_for_listener(address: SocketAddr) {
    let start = Instant::now();
    while std::net::TcpStream::connect(address).is_err() {
        assert!(
            start.elapsed() < START_TIMEOUT,
            "the host did not listen in time"
        );
        std::thread::sleep(Duration::from_millis(20));
    }
}

#[test]
fn a_host_logs_json_lines_and_ends_at_sigterm() {
    let callers = free_address();
    let settings = write_settings(
        "sigterm-host.ini",
        &format!(
            "[host]\ncaller_address = {callers}\npeer_address = {}\n\
             platform_addresses = {}\ntraffic_threads = 1\n",
            free_address(),
            free_address(),
        ),
    );
    let host = start_host(&settings);
    wait_for_listener(callers);
    let sent = Command::new("kill")
        .args(["-TERM", &host.id().to_string()])
        .status()
        .expect("a signal can be sent");
    assert!(sent.success());
    let output = host.wait_with_output().expect("the host ends");
    assert_eq!(output.status.code(), Some(0));
    let log = String::from_utf8(output.stderr).expect("the log is text");
    for line in log.lines() {
        let value: serde_json::Value = serde_json::from_str(line).expect("each line is JSON");
        for field in ["ts_ms", "level", "target", "message"] {
            assert!(value.get(field).is_some(), "{line} has no {field}");
        }
    }
    assert!(log.contains("\"signal\":\"SIGTERM\""), "{log}");
}

#[test]
fn a_host_with_bad_settings_does_not_start() {
    let settings = write_settings("bad-host.ini", "[host]\ntraffic_threads = 0\n");
    let output = start_host(&settings)
        .wait_with_output()
        .expect("the host ends");
    assert_eq!(output.status.code(), Some(3));
}

#[test]
fn status_shows_a_hosts_counters() {
    let metrics = free_address();
    let callers = free_address();
    let settings = write_settings(
        "status-host.ini",
        &format!(
            "[host]\ncaller_address = {callers}\npeer_address = {}\nmetrics_address = {metrics}\n\
             platform_addresses = {}\ntraffic_threads = 1\n",
            free_address(),
            free_address(),
        ),
    );
    let mut host = start_host(&settings);
    wait_for_listener(metrics);
    let shown = jujubehold(&["status", "--metrics", &metrics.to_string()]);
    host.kill().expect("the host can be killed");
    host.wait().expect("the host ends");
    assert!(shown.starts_with("exit code 0"), "{shown}");
    assert!(
        shown.contains("\nprocess_resident_memory_bytes "),
        "{shown}"
    );
    assert!(!shown.contains("# TYPE"), "{shown}");

    let gone = jujubehold(&["status", "--metrics", &metrics.to_string()]);
    assert!(gone.starts_with("exit code 5"), "{gone}");
}
