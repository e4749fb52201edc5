//! No write is acknowledged by a primary that has been replaced, and none that was acknowledged is
//! lost.

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
    installation.faults.stall("a").expect("the route stands");
    installation.wait_for_failover("a").await;
    // What was under way towards the old primary arrives now.
    installation.faults.heal("a").expect("the route stands");
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
    // The replicas get nothing of the next write, and its answer stays on its way.
    let held = LinkFaults {
        is_stalled: true,
        ..LinkFaults::default()
    };
    installation
        .faults
        .set("replication", Direction::Down, held.clone())
        .expect("the route");
    installation
        .faults
        .set("a", Direction::Down, held)
        .expect("the route stands");
    let before = installation.databases["a"].status().received;
    let write = caller.run("INSERT INTO orders (id, caller) VALUES (2, 1)");
    let freeze = async {
        crate::harness::until("the old primary commits", async || {
            installation.databases["a"].status().received > before
        })
        .await;
        installation.hosts[0].freeze();
        installation.wait_for_failover("a").await;
        installation.faults.heal("a").expect("the route stands");
        installation.hosts[0].wake();
    };
    let (answer, ()) = futures_util::future::join(write, freeze).await;
    let is_there = installation.rows().await.contains_key(&2);
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
    // Without the platform, nothing but the group's own fences keeps the hosts apart.
    installation.cut_platform();
    installation.databases["a"].kill();
    installation.wait_for_failover("a").await;
    installation.check(workload).await;
}
