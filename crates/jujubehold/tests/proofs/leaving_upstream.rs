//! An upstream that is leaving gets no new work.

use std::time::Duration;

use jujubehold_core::prelude::{InstanceState, ServiceConfig};

use crate::harness::{Installation, Layout, until};

const READ: &str = "SELECT count(*) FROM orders";

/// Reads of any age, so that replicas serve them.
fn layout() -> Layout {
    Layout {
        read_age: Duration::from_hours(1),
        ..Layout::default()
    }
}

fn without_b(installation: &Installation) -> ServiceConfig {
    let mut config = ServiceConfig {
        generation: 2,
        ..installation.config.clone()
    };
    config.instances.get_mut("b").expect("b is there").state = InstanceState::Leaving;
    config
}

async fn wait_until_b_works(installation: &Installation) {
    until("b serves reads", async || {
        let before = installation.databases["b"].statement_count();
        for number in 0..installation.hosts.len() {
            let mut caller = installation.caller(number);
            for _ in 0..10 {
                caller.run(READ).await;
            }
        }
        installation.databases["b"].statement_count() > before
    })
    .await;
}

#[actix_rt::test]
async fn a_leaving_replica_gets_no_new_work_from_any_host() {
    let installation = Installation::start(layout()).await;
    wait_until_b_works(&installation).await;
    installation
        .put_configuration(&without_b(&installation))
        .await;
    for number in 0..installation.hosts.len() {
        until("the host avoids b", async || {
            installation.avoids("b", number).await
        })
        .await;
    }
}

#[actix_rt::test]
async fn a_host_that_is_cut_off_from_the_platform_learns_of_a_leaving_upstream() {
    let installation = Installation::start(layout()).await;
    wait_until_b_works(&installation).await;
    installation
        .faults
        .cut("platform-1")
        .expect("the route stands");
    installation
        .put_configuration(&without_b(&installation))
        .await;
    until("the host avoids b", async || {
        installation.avoids("b", 1).await
    })
    .await;
}

#[actix_rt::test]
#[ignore = "known red: what_runs_on_a_leaving_primary_ends_well"]
async fn what_runs_on_a_leaving_primary_ends_well() {
    let installation = Installation::start(layout()).await;
    wait_until_b_works(&installation).await;
    let mut caller = installation.caller(0);
    caller.must_begin().await;
    caller
        .must_run("INSERT INTO orders (id, caller) VALUES (1, 1)")
        .await;
    let mut config = without_b(&installation);
    config.instances.get_mut("b").expect("b is there").state = InstanceState::Active;
    config.instances.get_mut("a").expect("a is there").state = InstanceState::Leaving;
    installation.put_configuration(&config).await;
    tokio::time::sleep(Duration::from_millis(300)).await;
    let committed = caller.write("COMMIT").await;
    assert!(committed.is_ran(), "{committed:?}");
    assert_eq!(installation.rows().await.get(&1), Some(&1));
}
