//! A replaced primary acknowledges no write, and no acknowledged write is lost.

use jujubehold_faults::{Direction, LinkFaults};

use crate::harness::{Answer, Installation, Layout};

#[actix_rt::test]
async fn a_killed_primary_is_replaced_and_no_acknowledged_write_is_lost() {
    let (installation, workload) = Installation::start_under_load(Layout::default()).await;
    installation.databases["a"].kill();
    installation.wait_for_failover("a").await;
    let report = installation.check(workload).await;
    assert!(report.read_back > 0);
}

#[actix_rt::test]
async fn a_primary_that_is_cut_off_and_comes_back_acknowledges_nothing_more() {
    let (installation, workload) = Installation::start_under_load(Layout::default()).await;
    installation.faults.stall("a").expect("the route exists");
    installation.wait_for_failover("a").await;
    // Messages in transit to the old primary arrive now.
    installation.faults.heal("a").expect("the route exists");
    installation.check(workload).await;
}

#[actix_rt::test]
async fn a_failover_needs_no_platform() {
    let (installation, workload) = Installation::start_under_load(Layout::default()).await;
    installation.cut_platform();
    installation.databases["a"].kill();
    installation.wait_for_failover("a").await;
    installation.check(workload).await;
}

#[actix_rt::test]
async fn a_host_that_was_frozen_with_the_answer_on_its_way_does_not_acknowledge() {
    let installation = Installation::start(Layout::default()).await;
    let mut caller = installation.caller(0);
    caller
        .must_write("INSERT INTO orders (id, caller) VALUES (1, 1)")
        .await;
    // The replicas do not receive the next write, and its answer stays in transit.
    let stalled = LinkFaults {
        is_stalled: true,
        ..LinkFaults::default()
    };
    installation
        .faults
        .set("replication", Direction::Down, stalled.clone())
        .expect("the route exists");
    installation
        .faults
        .set("a", Direction::Down, stalled)
        .expect("the route exists");
    let before = installation.databases["a"].status().received;
    let write = caller.run("INSERT INTO orders (id, caller) VALUES (2, 1)");
    let freeze = async {
        crate::harness::wait_until("the old primary commits", async || {
            installation.databases["a"].status().received > before
        })
        .await;
        installation.hosts[0].freeze();
        installation.wait_for_failover("a").await;
        installation.faults.heal("a").expect("the route exists");
        installation.hosts[0].resume();
    };
    let (answer, ()) = futures_util::future::join(write, freeze).await;
    let is_there = installation.row_counts().await.contains_key(&2);
    assert!(
        !answer.is_ran() || is_there,
        "acknowledged on behalf of a replaced primary"
    );
    assert!(
        !matches!(answer, Answer::NotRun(..)) || !is_there,
        "{answer:?}"
    );
}

#[actix_rt::test]
async fn of_two_hosts_that_promote_at_once_one_succeeds() {
    let layout = Layout {
        host_domains: vec!["east", "west", "north"],
        instance_domains: ["east", "west", "north"],
        ..Layout::default()
    };
    let (installation, workload) = Installation::start_under_load(layout).await;
    // Without the platform, only the fencing in the group prevents two primaries.
    installation.cut_platform();
    installation.databases["a"].kill();
    installation.wait_for_failover("a").await;
    installation.check(workload).await;
}
