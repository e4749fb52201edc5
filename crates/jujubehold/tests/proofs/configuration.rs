//! An accepted configuration takes effect on every host and never reverts.

use std::path::PathBuf;
use std::process::Command;
use std::time::Duration;

use jujubehold_core::prelude::ServiceConfig;
use jujubehold_settings::format_service;
use jujubehold_standin::platform::Outage;
use jujubehold_wire::kv::RangeRequest;
use jujubehold_wire::kv::kv_client::KvClient;

use crate::harness::{Installation, Layout, wait_until};

fn layout() -> Layout {
    Layout {
        read_age: Duration::from_hours(1),
        ..Layout::default()
    }
}

/// Waits until no host sends reads to the leaving replica.
async fn wait_until_in_force(installation: &Installation, leaving: &str) {
    for number in 0..installation.hosts.len() {
        wait_until("the second generation is in force", async || {
            installation.avoids_replica(leaving, number).await
        })
        .await;
    }
}

/// Returns the configuration's text as the platform stores it.
async fn stored_configuration(installation: &Installation) -> String {
    let address = format!("http://{}", installation.platform.address());
    let mut kv = KvClient::connect(address)
        .await
        .expect("the platform accepts calls");
    let request = RangeRequest {
        key: b"/jujubehold/services/ledger".to_vec(),
        ..RangeRequest::default()
    };
    let answer = kv
        .range(request)
        .await
        .expect("the platform answers")
        .into_inner();
    let value = answer
        .kvs
        .into_iter()
        .next()
        .map(|entry| entry.value)
        .unwrap_or_default();
    String::from_utf8(value).expect("the configuration is text")
}

fn submit(installation: &Installation, config: &ServiceConfig, name: &str) -> Command {
    let file = PathBuf::from(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("proofs-{}-{name}.ini", std::process::id()));
    std::fs::write(&file, format_service(config)).expect("the file is written");
    let mut command = Command::new(env!("CARGO_BIN_EXE_jujubehold"));
    command
        .arg("submit")
        .args(["--platform", &installation.platform.address().to_string()])
        .arg(&file);
    command
}

#[actix_rt::test]
async fn of_two_operators_that_race_one_is_told_of_the_conflict() {
    let installation = Installation::start(layout()).await;
    let replica = installation.replica_serving_reads().await;
    let based_on = ServiceConfig {
        generation: 1,
        ..installation.config_with_leaving(replica)
    };
    let mut other = based_on.clone();
    other.slots += 1;
    let first = submit(&installation, &based_on, "first")
        .spawn()
        .expect("submit starts");
    let second = submit(&installation, &other, "second")
        .spawn()
        .expect("submit starts");
    let mut codes: Vec<_> = [first, second]
        .into_iter()
        .map(|child| child.wait_with_output().expect("submit ends").status.code())
        .collect();
    codes.sort_unstable();
    assert_eq!(codes[0], Some(0), "one is accepted: {codes:?}");
    assert_ne!(codes[1], Some(0), "the other is refused: {codes:?}");
    assert!(
        stored_configuration(&installation)
            .await
            .contains("generation = 2")
    );
}

#[actix_rt::test]
async fn a_submission_whose_answer_was_lost_is_in_force_once() {
    let installation = Installation::start(layout()).await;
    let replica = installation.replica_serving_reads().await;
    let based_on = ServiceConfig {
        generation: 1,
        ..installation.config_with_leaving(replica)
    };
    installation.platform.lose_answers(1);
    let output = submit(&installation, &based_on, "lost")
        .output()
        .expect("submit ends");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert!(
        stored_configuration(&installation)
            .await
            .contains("generation = 2")
    );
    wait_until_in_force(&installation, replica).await;
}

#[actix_rt::test]
async fn a_platform_restored_to_an_older_revision_reverts_nothing() {
    let installation = Installation::start(layout()).await;
    let replica = installation.replica_serving_reads().await;
    let before = installation.platform.revision();
    installation
        .put_configuration(&installation.config_with_leaving(replica))
        .await;
    wait_until_in_force(&installation, replica).await;
    installation.platform.restore(before);
    wait_until("the hosts write the newer configuration back", async || {
        stored_configuration(&installation)
            .await
            .contains("generation = 2")
    })
    .await;
    for number in 0..installation.hosts.len() {
        assert!(
            installation.avoids_replica(replica, number).await,
            "host {number} reverted"
        );
    }
}

#[actix_rt::test]
async fn a_fresh_host_starts_from_its_peers_while_the_platform_is_out() {
    let mut installation = Installation::start(layout()).await;
    let replica = installation.replica_serving_reads().await;
    installation
        .put_configuration(&installation.config_with_leaving(replica))
        .await;
    wait_until_in_force(&installation, replica).await;
    installation.hosts[1].kill();
    installation.platform.set_outage(Outage::Refuse);
    installation.start_host(1);
    installation.wait_for_host(1).await;
    assert!(installation.avoids_replica(replica, 1).await);
}
