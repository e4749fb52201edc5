//! A process that drains while instances take as long as their time limits allow: every request that
//! it has read gets a complete answer before the process ends.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use jujubehold_lab::cluster::free_address;
use jujubehold_standin::users_platform::{StoreEndpoint, THREE_INSTANCES, UsersPlatformHandle};
use serde_json::json;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// How long a step may take before the test fails.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
/// The time from SIGTERM to SIGKILL.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than any test.
const ENDLESS: Duration = Duration::from_hours(1);
const STATEMENT_TIMEOUT_MS: u64 = 200_000;

/// A platform and hosts before it, each a process of its own.
struct Installation {
    platform: UsersPlatformHandle,
    hosts: Vec<HostProcess>,
}

struct HostProcess {
    child: Child,
    callers: SocketAddr,
    store: StoreEndpoint,
}

impl Drop for HostProcess {
    fn drop(&mut self) {
        // It may have ended already.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

impl Installation {
    async fn start(test: &str, host_count: usize, max_connections: u32) -> Self {
        let platform = UsersPlatformHandle::start("s", &THREE_INSTANCES)
            .await
            .expect("ports are free");
        platform.group.borrow_mut().max_connections = max_connections;
        let route = |name: &str, kind: &str| {
            json!({"name": name, "host": name, "route_type": kind, "service": "s",
                "timeout_ms": STATEMENT_TIMEOUT_MS, "slo_ms": STATEMENT_TIMEOUT_MS, "priority": 1,
                "max_staleness_ms": 1_000})
        };
        let routes = json!([
            route("newest", "primary"),
            route("bounded", "bounded_staleness")
        ]);
        platform.configure_with(1, &routes, &json!({"limits": {"tx_idle_ms": 60_000}}));
        let mut hosts = Vec::new();
        for number in 0..host_count {
            let name = format!("host-{number}");
            hosts.push(HostProcess::start(test, &name, &platform).await);
        }
        let installation = Self { platform, hosts };
        for host in &installation.hosts {
            Caller::open_when_served(host.callers).await;
        }
        installation
    }

    /// Returns the number of the host on whose connection the statement ran.
    fn host_that_ran(&self, text: &str) -> usize {
        let group = self.platform.group.borrow();
        let mut runs = group.executed_statements.iter();
        let run = runs.find(|run| run.text == text).expect("it ran");
        let number = run.user.strip_prefix("host-");
        let number = number.and_then(|number| number.parse().ok());
        number.expect("a host opened the connection")
    }

    fn set_work_time(&self, work_time: Duration) {
        for instance in &mut self.platform.group.borrow_mut().instances {
            instance.faults.work_time = work_time;
        }
    }
}

impl HostProcess {
    async fn start(test: &str, name: &str, platform: &UsersPlatformHandle) -> Self {
        let store = platform.store_for_host().await.expect("a port is free");
        let address = || free_address().expect("a port is free");
        let (callers, readiness, peers) = (address(), address(), address());
        let settings = format!(
            "[entry]\nname = {name}\ndomain = east\ncaller_address = {callers}\n\
             readiness_address = {readiness}\npeer_address = {peers}\nstore_address = {}\n\
             promotion_address = {}\ndrain_timeout_s = {}\nfirst_start = true\n",
            store.address,
            platform.promotion_address,
            DRAIN_TIMEOUT.as_secs(),
        );
        let directory = PathBuf::from(env!("CARGO_TARGET_TMPDIR"));
        let file = directory.join(format!("{test}-{name}.ini"));
        std::fs::write(&file, settings).expect("the target directory can be written");
        let child = Command::new(env!("CARGO_BIN_EXE_jujubehold"))
            .args(["entry", "--settings"])
            .arg(&file)
            .stdout(Stdio::null())
            .spawn()
            .expect("the program starts");
        Self {
            child,
            callers,
            store,
        }
    }

    fn signal(&self, name: &str) {
        let id = self.child.id().to_string();
        let sent = Command::new("kill").args([name, &id]).status();
        assert!(sent.expect("a signal can be sent").success());
    }

    /// Waits until the process has ended and returns its exit code; `None` if a signal ended it. The
    /// platform sends SIGKILL once the drain timeout since `stopped_at` is over.
    async fn wait_for_exit(&mut self, stopped_at: Instant) -> Option<i32> {
        loop {
            if let Some(status) = self.child.try_wait().expect("the process is a child") {
                return status.code();
            }
            if stopped_at.elapsed() >= DRAIN_TIMEOUT {
                self.child.kill().expect("the process is a child");
            }
            actix_rt::time::sleep(Duration::from_millis(10)).await;
        }
    }
}

/// A caller's session.
struct Caller {
    stream: BufReader<TcpStream>,
}

impl Caller {
    async fn try_open(host: SocketAddr, database: &str) -> Option<Self> {
        let stream = TcpStream::connect(host).await.ok()?;
        let mut caller = Self {
            stream: BufReader::new(stream),
        };
        caller.send(&format!("START {database} someone")).await;
        let line = caller.line().await?;
        line.starts_with("READY").then_some(caller)
    }

    /// Opens a session once the host serves reads.
    async fn open_when_served(host: SocketAddr) -> Self {
        let give_up_at = Instant::now() + TEST_TIMEOUT;
        loop {
            assert!(Instant::now() < give_up_at, "the host does not serve");
            if let Some(mut caller) = Self::try_open(host, "newest").await
                && is_complete(caller.query("READ x").await.as_ref())
            {
                return caller;
            }
            actix_rt::time::sleep(Duration::from_millis(50)).await;
        }
    }

    async fn open(host: SocketAddr, database: &str) -> Self {
        let caller = Self::try_open(host, database).await;
        caller.expect("the database is known")
    }

    async fn open_in_transaction(host: SocketAddr) -> Self {
        let mut caller = Self::open(host, "newest").await;
        caller.must_run("BEGIN").await;
        caller.must_run("WRITE t 1").await;
        caller
    }

    async fn send(&mut self, line: &str) {
        // A host that has ended is noticed when its answer is read.
        let line = format!("{line}\r\n");
        let _ = self.stream.get_mut().write_all(line.as_bytes()).await;
    }

    async fn line(&mut self) -> Option<String> {
        let mut line = String::new();
        let read = self.stream.read_line(&mut line).await;
        (read.is_ok() && line.ends_with("\r\n")).then_some(line)
    }

    /// Returns the line that says how the statement ended; `None` without a complete answer.
    async fn query(&mut self, text: &str) -> Option<String> {
        let id = rand::random::<u64>();
        self.send(&format!("QUERY {id:x} {text}")).await;
        let mut end = None;
        loop {
            let line = self.line().await?;
            if line.starts_with("READY") {
                return end;
            }
            if !line.starts_with("ROW") {
                end = Some(line);
            }
        }
    }

    async fn must_run(&mut self, text: &str) {
        let end = self.query(text).await;
        assert!(is_complete(end.as_ref()), "{text}: {end:?}");
    }
}

fn is_complete(end: Option<&String>) -> bool {
    end.is_some_and(|end| end.starts_with("COMPLETE"))
}

async fn bounded(test: impl Future<Output = ()>) {
    let result = tokio::time::timeout(TEST_TIMEOUT, test).await;
    result.expect("the test does not hang");
}

// The work ends after the point at which the process used to end, and before the last sixth of the
// timeout. Guards against a process that ends by the clock while requests run.
#[actix_rt::test]
async fn requests_that_run_late_in_the_drain_are_answered() {
    bounded(async {
        let mut installation = Installation::start("late", 1, 20).await;
        let callers = installation.hosts[0].callers;
        let mut reader = Caller::open_in_transaction(callers).await;
        let mut writer = Caller::open_in_transaction(callers).await;
        installation.set_work_time(DRAIN_TIMEOUT * 34 / 100);
        let stopped_at = Instant::now();
        installation.hosts[0].signal("-TERM");
        let send_at = stopped_at + DRAIN_TIMEOUT * 49 / 100;
        tokio::time::sleep_until(send_at.into()).await;
        let (read, commit) = tokio::join!(reader.query("READ t"), writer.query("COMMIT"));
        assert!(read.is_some() && commit.is_some(), "{read:?} {commit:?}");
        let exit = installation.hosts[0].wait_for_exit(stopped_at).await;
        assert_eq!(exit, Some(0));
    })
    .await;
}

// Guards against a process that ends, or is killed, while instances still run requests. Each caller
// learns what is certain.
#[actix_rt::test]
async fn requests_that_instances_do_not_end_are_answered_before_the_process_ends() {
    bounded(async {
        let mut installation = Installation::start("endless", 1, 20).await;
        let host = &installation.hosts[0];
        let mut reader = Caller::open(host.callers, "bounded").await;
        let mut writer = Caller::open(host.callers, "newest").await;
        let mut in_transaction = Caller::open_in_transaction(host.callers).await;
        let mut committing = Caller::open_in_transaction(host.callers).await;
        installation.set_work_time(ENDLESS);
        let answers = async {
            tokio::join!(
                reader.query("READ x"),
                writer.query("WRITE x 1"),
                in_transaction.query("WRITE t 2"),
                committing.query("COMMIT"),
            )
        };
        let signals = async {
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            let stopped_at = Instant::now();
            host.signal("-TERM");
            host.signal("-HUP");
            host.signal("-TERM");
            // The store does not answer the calls with which the host leaves.
            actix_rt::time::sleep(DRAIN_TIMEOUT / 2).await;
            host.store.faults.borrow_mut().is_unresponsive = true;
            stopped_at
        };
        let (answers, stopped_at) = tokio::join!(answers, signals);
        let expected = [
            "ERROR BUSY ",
            "ERROR INDOUBT ",
            "ERROR ABORTED ",
            "ERROR INDOUBT ",
        ];
        let (read, write, in_transaction, commit) = answers;
        for (answer, expected) in [read, write, in_transaction, commit].iter().zip(expected) {
            let answer = answer.as_ref().expect("the request is answered");
            assert!(
                answer.starts_with(expected),
                "{answer} instead of {expected}"
            );
            assert!(answer.contains("shutting_down"), "{answer}");
        }
        let exit = installation.hosts[0].wait_for_exit(stopped_at).await;
        assert_eq!(exit, Some(0));
    })
    .await;
}

// The work ends after the point at which an owner used to end. Guards against owners that end while
// they run the statements of other hosts, whose callers can't tell then whether these ran.
#[actix_rt::test]
async fn an_owner_that_drains_completes_the_statements_of_other_hosts() {
    bounded(async {
        let mut installation = Installation::start("owner", 4, 3).await;
        let mut callers = Vec::new();
        let mut owners = Vec::new();
        for number in 0..installation.hosts.len() {
            let mut caller = Caller::open(installation.hosts[number].callers, "newest").await;
            let text = format!("WRITE owner{number} 1");
            caller.must_run(&text).await;
            let owner = installation.host_that_ran(&text);
            if owner != number {
                callers.push(caller);
                owners.push(owner);
            }
        }
        assert!(!callers.is_empty(), "each host has connections of its own");
        installation.set_work_time(DRAIN_TIMEOUT * 84 / 100);
        let mut caller = callers.swap_remove(0);
        let owner = owners.swap_remove(0);
        let stop = async {
            actix_rt::time::sleep(Duration::from_millis(300)).await;
            installation.hosts[owner].signal("-TERM");
            Instant::now()
        };
        let (answer, stopped_at) = tokio::join!(caller.query("WRITE x 1"), stop);
        assert!(is_complete(answer.as_ref()), "{answer:?}");
        let exit = installation.hosts[owner].wait_for_exit(stopped_at).await;
        assert_eq!(exit, Some(0));
    })
    .await;
}
