//! An entry host that runs as a separate process.

use std::collections::BTreeMap;
use std::fmt::Write;
use std::fs::File;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::Duration;

use jujubehold_lab::cluster::free_address;

/// The name, failure domain, addresses and settings of a host.
#[derive(Debug, Clone)]
pub(crate) struct HostSpec {
    pub(crate) name: String,
    pub(crate) domain: String,
    pub(crate) caller_address: SocketAddr,
    pub(crate) peer_address: SocketAddr,
    pub(crate) metrics_address: SocketAddr,
    pub(crate) platform_address: SocketAddr,
    /// The address at which the host reaches each configured address.
    pub(crate) reached_at: BTreeMap<SocketAddr, SocketAddr>,
    /// The key that signs tokens; the development key if `None`.
    pub(crate) token_key: Option<&'static str>,
    pub(crate) leaving_grace: Duration,
}

impl HostSpec {
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

/// A running host, which is killed when dropped.
#[derive(Debug)]
pub(crate) struct HostProcess {
    pub(crate) spec: HostSpec,
    child: Child,
    log_path: PathBuf,
}

impl HostProcess {
    /// Starts the jujubehold binary.
    pub(crate) fn start(directory: &Path, spec: HostSpec, peers: &[HostSpec]) -> Self {
        let settings_path = directory.join(format!("{}.ini", spec.name));
        std::fs::write(&settings_path, spec.settings(peers)).expect("the settings are written");
        let log_path = directory.join(format!("{}.log", spec.name));
        // A restarted host appends to the log of its predecessor.
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log_path)
            .expect("the log is opened");
        let child = Command::new(env!("CARGO_BIN_EXE_jujubehold"))
            .args(["host", "--settings"])
            .arg(&settings_path)
            .env("JUJUBEHOLD_LOG", "info,jujubehold_host=debug")
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .expect("the host starts");
        Self {
            spec,
            child,
            log_path,
        }
    }

    /// Pauses the process with SIGSTOP until [`Self::resume`].
    pub(crate) fn freeze(&self) {
        self.signal("STOP");
    }

    pub(crate) fn resume(&self) {
        self.signal("CONT");
    }

    /// Requests a graceful shutdown.
    pub(crate) fn terminate(&self) {
        self.signal("TERM");
    }

    /// Kills the process and waits for its exit.
    pub(crate) fn kill(&mut self) {
        // The process may have exited already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Waits until the process exits without being killed.
    pub(crate) async fn wait_for_exit(&mut self) -> ExitStatus {
        loop {
            if let Some(status) = self
                .child
                .try_wait()
                .expect("the process is a child of the test")
            {
                return status;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    }

    /// Returns the last lines of the host's log, for the output of a failed test.
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
        assert!(status.success(), "the signal is sent to the host");
    }
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        if std::thread::panicking() {
            eprintln!("--- {}\n{}", self.spec.name, self.log_tail());
        }
        self.kill();
    }
}
