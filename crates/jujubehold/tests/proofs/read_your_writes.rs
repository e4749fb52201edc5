//! A session reads its own writes, even at another host and after a failover.

use std::time::Duration;

use jujubehold_core::prelude::Confirm;
use jujubehold_faults::{Direction, LinkFaults};

use crate::harness::{Answer, Installation, Layout, Workload, wait_until};

const INSERT: &str = "INSERT INTO orders (id, caller) VALUES (1, 1)";
const COUNT: &str = "SELECT count(*) FROM orders WHERE id = 1";

/// A replication lag that exceeds the length of every test.
const FAR_BEHIND: Duration = Duration::from_hours(1);

fn lag_replicas(installation: &Installation) {
    for name in ["b", "c"] {
        installation.databases[name].set_apply_lag(FAR_BEHIND);
    }
}

#[actix_rt::test]
async fn a_session_reads_its_write_at_another_host_while_replicas_are_far_behind() {
    // Reads of other sessions would accept the old data.
    let layout = Layout {
        read_age: FAR_BEHIND,
        ..Layout::default()
    };
    let installation = Installation::start(layout).await;
    lag_replicas(&installation);
    let mut caller = installation.caller(0);
    caller.must_write(INSERT).await;
    assert!(caller.token.is_some(), "a write gives its session a token");
    for number in [0, 1, 0, 1] {
        caller.move_to(installation.caller_address(number));
        assert_eq!(
            caller.run(COUNT).await.value(),
            Some("1"),
            "at host {number}"
        );
    }
}

#[actix_rt::test]
async fn a_session_reads_its_writes_while_it_moves_and_the_primary_changes() {
    let layout = Layout {
        read_age: FAR_BEHIND,
        ..Layout::default()
    };
    let installation = Installation::start(layout).await;
    installation.databases["b"].set_apply_lag(Duration::from_millis(300));
    installation.databases["c"].set_apply_lag(Duration::from_millis(50));
    let workload = Workload::start(4, &installation.caller_addresses());
    workload.wait_for(30).await;
    installation.databases["a"].kill();
    installation.wait_for_failover("a").await;
    workload.wait_for(30).await;
    let report = workload.stop().await;
    report.check(&installation.row_counts().await);
    assert!(report.read_back >= 30);
}

#[actix_rt::test]
async fn a_token_that_was_forged_is_refused() {
    let installation = Installation::start(Layout::default()).await;
    let mut caller = installation.caller(0);
    caller.must_write(INSERT).await;
    let token = caller.token.clone().expect("a write gives a token");
    let middle = token.len() / 2;
    let other = if token.as_bytes()[middle] == b'A' {
        "B"
    } else {
        "A"
    };
    let forged = format!("{}{other}{}", &token[..middle], &token[middle + 1..]);
    let mut second = installation.caller(1);
    let answer = second
        .run(&format!("SET jujubehold.session = '{forged}'"))
        .await;
    assert!(
        matches!(&answer, Answer::NotRun(code, _) if code == "22023"),
        "{answer:?}"
    );
    // The genuine token is accepted.
    let answer = second
        .run(&format!("SET jujubehold.session = '{token}'"))
        .await;
    assert!(answer.is_ran(), "{answer:?}");
}

#[actix_rt::test]
async fn a_write_that_a_failover_cut_off_is_told_and_not_passed_over() {
    let layout = Layout {
        confirm: Confirm::None,
        ..Layout::default()
    };
    let installation = Installation::start(layout).await;
    let lost = LinkFaults {
        is_cut: true,
        ..LinkFaults::default()
    };
    installation
        .faults
        .set("replication", Direction::Down, lost)
        .expect("the route exists");
    let mut caller = installation.caller(0);
    caller.must_write(INSERT).await;
    installation.databases["a"].kill();
    installation.wait_for_failover("a").await;
    let mut second = installation.caller(1);
    wait_until("the new primary serves", async || {
        second.run("SELECT 1").await.is_ran()
    })
    .await;
    caller.move_to(installation.caller_address(1));
    let answer = caller.run(COUNT).await;
    assert!(
        !answer.is_ran(),
        "the read ignored a position that the failover discarded: {answer:?}"
    );
}
