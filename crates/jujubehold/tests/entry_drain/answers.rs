//! Every request that a draining process has read gets a complete answer before the process ends.

use std::time::{Duration, Instant};

use crate::caller::{Caller, is_complete};
use crate::installation::{Installation, Layout};

/// How long a step may take before the test fails.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
/// The time from SIGTERM to SIGKILL.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(12);
/// Longer than any test.
const ENDLESS: Duration = Duration::from_hours(1);
const STATEMENT_TIMEOUT: Duration = Duration::from_secs(200);

fn layout(test: &'static str, host_count: usize, max_connections: u32) -> Layout {
    Layout {
        test,
        host_count,
        max_connections,
        drain_timeout: DRAIN_TIMEOUT,
        statement_timeout: STATEMENT_TIMEOUT,
    }
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
        let mut installation = Installation::start(layout("late", 1, 20)).await;
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
        let mut installation = Installation::start(layout("endless", 1, 20)).await;
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
        let mut installation = Installation::start(layout("owner", 4, 3)).await;
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
