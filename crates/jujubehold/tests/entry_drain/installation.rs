//! Hosts as processes before a simulated platform.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::time::{Duration, Instant};

use jujubehold_lab::cluster::free_address;
use jujubehold_standin::users_platform::{StoreEndpoint, THREE_INSTANCES, UsersPlatformHandle};
use serde_json::json;

use crate::caller::Caller;

/// How much later than the drain timeout a process is killed, as a busy machine may run it late.
const KILL_MARGIN: Duration = Duration::from_secs(1);

/// What an installation consists of.
#[derive(Debug, Clone, Copy)]
pub(crate) struct Layout {
    /// Distinguishes the files of the hosts' settings.
    pub(crate) test: &'static str,
    pub(crate) host_count: usize,
    /// The connections that each instance accepts. With fewer than hosts, some hosts own connections.
    pub(crate) max_connections: u32,
    /// The time from SIGTERM to SIGKILL.
    pub(crate) drain_timeout: Duration,
    pub(crate) statement_timeout: Duration,
}

/// A platform and hosts before it, each a process of its own.
pub(crate) struct Installation {
    pub(crate) platform: UsersPlatformHandle,
    pub(crate) hosts: Vec<HostProcess>,
}

/// A process that is killed when dropped.
pub(crate) struct HostProcess {
    child: Child,
    /// The file for further starts, which are not the first one of the whole system.
    settings: PathBuf,
    drain_timeout: Duration,
    pub(crate) callers: SocketAddr,
    pub(crate) store: StoreEndpoint,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Installation {
    /// Starts the platform and the hosts, and waits until all serve.
    pub(crate) async fn start(layout: Layout) -> Self {
        let platform = UsersPlatformHandle::start("s", &THREE_INSTANCES)
            .await
            .expect("ports are free");
        platform.group.borrow_mut().max_connections = layout.max_connections;
        let timeout_ms = u64::try_from(layout.statement_timeout.as_millis()).unwrap_or(u64::MAX);
        let route = |name: &str, kind: &str| {
            json!({"name": name, "host": name, "route_type": kind, "service": "s",
                "timeout_ms": timeout_ms, "slo_ms": timeout_ms, "priority": 1,
                "max_staleness_ms": 1_000})
        };
        let routes = json!([
            route("newest", "primary"),
            route("bounded", "bounded_staleness")
        ]);
        platform.configure_with(1, &routes, &json!({"limits": {"tx_idle_ms": 60_000}}));
        let mut hosts = Vec::new();
        for number in 0..layout.host_count {
            let name = format!("host-{number}");
            hosts.push(HostProcess::start(&layout, &name, &platform).await);
        }
        let installation = Self { platform, hosts };
        for host in &installation.hosts {
            Caller::open_when_served(host.callers).await;
        }
        installation
    }

    /// Returns the number of the host on whose connection the statement ran.
    pub(crate) fn host_that_ran(&self, text: &str) -> usize {
        let group = self.platform.group.borrow();
        let mut runs = group.executed_statements.iter();
        let run = runs.find(|run| run.text == text).expect("it ran");
        let number = run.user.strip_prefix("host-");
        let number = number.and_then(|number| number.parse().ok());
        number.expect("a host opened the connection")
    }

    /// Sets how long instances work for each statement.
    pub(crate) fn set_work_time(&self, work_time: Duration) {
        for instance in &mut self.platform.group.borrow_mut().instances {
            instance.faults.work_time = work_time;
        }
    }
}

impl HostProcess {
    async fn start(layout: &Layout, name: &str, platform: &UsersPlatformHandle) -> Self {
        let store = platform.store_for_host().await.expect("a port is free");
        let address = || free_address().expect("a port is free");
        let (callers, readiness, peers) = (address(), address(), address());
        let text = format!(
            "[entry]\nname = {name}\ndomain = east\ncaller_address = {callers}\n\
             readiness_address = {readiness}\npeer_address = {peers}\nstore_address = {}\n\
             promotion_address = {}\ndrain_timeout_s = {}\n",
            store.address,
            platform.promotion_address,
            layout.drain_timeout.as_secs_f64(),
        );
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let write = |suffix: &str, text: &str| {
            // Several runs may share the directory.
            let run = std::process::id();
            let file = directory.join(format!("{}-{run}-{name}{suffix}.ini", layout.test));
            std::fs::write(&file, text).expect("the target directory can be written");
            file
        };
        let first = write("-first", &format!("{text}first_start = true\n"));
        let settings = write("", &text);
        let child = spawn(&first);
        Self {
            child,
            settings,
            drain_timeout: layout.drain_timeout,
            callers,
            store,
        }
    }

    /// Starts the process again.
    pub(crate) fn restart(&mut self) {
        self.child = spawn(&self.settings);
    }

    /// Sends a signal to the process.
    pub(crate) fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        assert!(sent.expect("a signal can be sent").success());
    }

    /// Returns how the process has ended, if it has. The platform sends SIGKILL once the drain timeout
    /// since `stopped_at` is over, here a little later.
    pub(crate) fn exit_status(&mut self, stopped_at: Instant) -> Option<ExitStatus> {
        if let Some(status) = self.child.try_wait().expect("the process is a child") {
            return Some(status);
        }
        if stopped_at.elapsed() >= self.drain_timeout + KILL_MARGIN {
            self.child.kill().expect("the process is a child");
        }
        None
    }

    /// Waits until the process has ended and returns its exit code; `None` if a signal ended it.
    pub(crate) async fn wait_for_exit(&mut self, stopped_at: Instant) -> Option<i32> {
        loop {
            if let Some(status) = self.exit_status(stopped_at) {
                return status.code();
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

fn spawn(settings: &Path) -> Child {
    Command::new(env!("CARGO_BIN_EXE_jujubehold"))
        .args(["entry", "--settings"])
        .arg(settings)
        .stdout(Stdio::null())
        .spawn()
        .expect("the program starts")
}
