//! `jujubehold entry` survives SIGHUP and exits cleanly on SIGTERM.

use std::io::{BufRead, BufReader};
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::{Child, ChildStdout, Command, Stdio};

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").expect("loopback has free ports");
    listener.local_addr().expect("a listener has an address")
}

fn settings(name: &str) -> String {
    let (callers, readiness, peers) = (free_address(), free_address(), free_address());
    let (store, promotion) = (free_address(), free_address());
    format!(
        "[entry]\nname = {name}\ncaller_address = {callers}\nreadiness_address = {readiness}\n\
         peer_address = {peers}\nstore_address = {store}\npromotion_address = {promotion}\n\
         drain_timeout_s = 1\n"
    )
}

/// Reads the log up to a line that contains `pattern`, and returns that line.
fn wait_for_line(log: &mut BufReader<ChildStdout>, pattern: &str) -> String {
    let mut line = String::new();
    while log.read_line(&mut line).expect("the log can be read") > 0 {
        if line.contains(pattern) {
            return line;
        }
        line.clear();
    }
    panic!("the log ended without {pattern:?}");
}

fn signal(child: &Child, name: &str) {
    let sent = Command::new("kill")
        .args([name, &child.id().to_string()])
        .status()
        .expect("a signal can be sent");
    assert!(sent.success());
}

// Guards against a fault in which SIGHUP ended hosts in the middle of their callers' requests.
#[test]
fn a_changed_settings_file_is_checked_and_ends_nothing() {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR")).join("entry.ini");
    std::fs::write(&file, settings("host-1")).expect("the target directory can be written");
    let mut host = Command::new(env!("CARGO_BIN_EXE_jujubehold"))
        .args(["entry", "--settings"])
        .arg(&file)
        .stdout(Stdio::piped())
        .spawn()
        .expect("the program starts");
    let mut log = BufReader::new(host.stdout.take().expect("standard output is piped"));
    wait_for_line(&mut log, "\"started\"");
    signal(&host, "-HUP");
    let line = wait_for_line(&mut log, "settings file read again");
    assert!(line.contains("\"is_changed\":false"), "{line}");
    std::fs::write(&file, settings("host-2")).expect("the target directory can be written");
    signal(&host, "-HUP");
    let line = wait_for_line(&mut log, "settings file read again");
    assert!(line.contains("\"is_changed\":true"), "{line}");
    std::fs::write(&file, "[entry]\nnmae = x\n").expect("the target directory can be written");
    signal(&host, "-HUP");
    let line = wait_for_line(&mut log, "settings file has faults");
    assert!(line.contains("nmae"), "{line}");
    signal(&host, "-TERM");
    wait_for_line(&mut log, "\"stopped\"");
    assert_eq!(host.wait().expect("the host exits").code(), Some(0));
}
