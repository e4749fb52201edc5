//! One entry host as a process of its own.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use jujubehold_lab::cluster::free_address;

/// Where a host's addresses and its place are.
#[derive(Debug, Clone)]
pub(crate) struct HostPlace {
    pub(crate) name: String,
    pub(crate) domain: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) metrics_address: SocketAddr,
    pub(crate) platform_address: SocketAddr,
    /// Where the host reaches the addresses that others name.
    pub(crate) reached_at: BTreeMap<SocketAddr, SocketAddr>,
    /// The key that signs tokens; the development key if there is none.
    pub(crate) token_key: Option<&'static str>,
    pub(crate) leaving_grace: Duration,
}

impl HostPlace {
    pub(crate) fn new(name: &str, domain: &str, platform_address: SocketAddr) -> Self {
        Self {
            name: name.to_owned(),
            domain: domain.to_owned(),
            caller_address: free_address().expect("a port is free"),
            peer_address: free_address().expect("a port is free"),
            metrics_address: free_address().expect("a port is free"),
            platform_address,
            reached_at: BTreeMap::new(),
            token_key: None,
            leaving_grace: Duration::from_secs(2),
        }
    }

    fn settings(&self, peers: &[Self]) -> String {
        let key_line = self
            .token_key
            .map_or_else(String::new, |key| format!("token_key = {key}\n"));
        let mut text = format!(
            "[host]\nname = {}\ndomain = {}\nregion = local\ncaller_address = {}\n\
             peer_address = {}\nmetrics_address = {}\nplatform_addresses = {}\n\
             traffic_threads = 2\ndrain_timeout_ms = 20000\n{key_line}\n[failover]\nleaving_grace_ms = {}\n",
            self.name,
            self.domain,
            self.caller_address,
            self.peer_address,
            self.metrics_address,
            self.platform_address,
            self.leaving_grace.as_millis(),
        );
        for (address, reached_at) in &self.reached_at {
            let _ = write!(text, "\n[address {address}]\nreached_at = {reached_at}\n");
        }
        for peer in peers.iter().filter(|peer| peer.name != self.name) {
            let _ = write!(
                text,
                "\n[peer {}]\ndomain = {}\npeer_address = {}\n",
                peer.name, peer.domain, peer.peer_address
            );
        }
        text
    }
}

/// A running host; it is killed when dropped.
#[derive(Debug)]
pub(crate) struct HostProcess {
    pub(crate) place: HostPlace,
    child: Child,
    log_path: PathBuf,
}

impl HostProcess {
    /// Starts the product's binary.
    pub(crate) fn start(directory: &Path, place: HostPlace, peers: &[HostPlace]) -> Self {
        let settings_path = directory.join(format!("{}.ini", place.name));
        std::fs::write(&settings_path, place.settings(peers)).expect("the settings are written");
        let log_path = directory.join(format!("{}.log", place.name));
        let log = File::create(&log_path).expect("the log is opened");
        let child = Command::new(env!("CARGO_BIN_EXE_jujubehold"))
            .args(["host", "--settings"])
            .arg(&settings_path)
            .env("JUJUBEHOLD_LOG", "info")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the host starts");
        Self {
            place,
            child,
            log_path,
        }
    }

    /// Stops the process without its knowledge until [`Self::wake`].
    pub(crate) fn freeze(&self) {
        self.signal("STOP");
    }

    pub(crate) fn wake(&self) {
        self.signal("CONT");
    }

    /// Asks for a graceful shutdown.
    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        // A process that has ended needs no end.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits for the process's own end.
    pub(crate) async fn ended(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is ours") {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// The end of what the host logged, for a failed test's output.
    pub(crate) fn log_tail(&self) -> String {
        const TAIL_LINES: usize = 30;
        let text = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        let lines: Vec<&str> = text.lines().collect();
        lines[lines.len().saturating_sub(TAIL_LINES)..].join("\n")
    }

    fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args(["-s", name, &self.child.id().to_string()])
            .status()
            .expect("kill runs");
        assert!(status.success(), "the host takes the signal");
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- {}\n{}", self.place.name, self.log_tail());
        }
        self.kill();
    }
}
