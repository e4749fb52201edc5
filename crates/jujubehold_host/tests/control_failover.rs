//! A failed primary is replaced automatically.

#[path = "support/control.rs"]
mod control;

use std::time::Duration;

use control::{Installation, RunningHost, wait_until};
use jujubehold_core::prelude::*;
use jujubehold_standin::platform::Outage;
use tokio_postgres::NoTls;

const INSERT: &str = "INSERT INTO issues (id) VALUES (1)";

/// How long a caller waits for a response.
const CALLER_TIMEOUT: Duration = Duration::from_secs(1);

/// Long enough for a host to replace a primary that it suspects.
const LONGER_THAN_SUSPICION: Duration = Duration::from_secs(3);

async fn write_until_acknowledged(host: &RunningHost, sql: &str) {
    let writing = async {
        loop {
            // A caller of a frozen primary times out and retries on a new connection.
            let attempt = async { host.try_connect().await?.simple_query(sql).await };
            if let Ok(Ok(_)) = tokio::time::timeout(CALLER_TIMEOUT, attempt).await {
                return;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
    };
    let limited = tokio::time::timeout(control::HANG_LIMIT, writing).await;
    limited.expect("writes succeed again");
}

async fn started() -> (Installation, RunningHost) {
    let installation = Installation::start().await;
    let host = RunningHost::start(installation.settings("host-1", "delta")).await;
    wait_until("the primary is known", || host.primary().is_some()).await;
    write_until_acknowledged(&host, "CREATE TABLE IF NOT EXISTS issues (id INTEGER)").await;
    let have_table = || {
        let mut instances = installation.instances.iter();
        instances.all(|instance| instance.status().applied >= 1)
    };
    wait_until("every instance has the table", have_table).await;
    (installation, host)
}

#[actix_rt::test]
async fn writes_succeed_again_after_the_primary_is_killed() {
    let (installation, host) = started().await;
    write_until_acknowledged(&host, INSERT).await;
    installation.instances[0].kill();
    write_until_acknowledged(&host, "INSERT INTO issues (id) VALUES (2)").await;
    let (primary, term) = host.primary().expect("there is a primary");
    assert_ne!(primary, "a");
    assert!(term > 1);
}

#[actix_rt::test]
async fn writes_succeed_again_while_the_platform_hangs() {
    let (installation, host) = started().await;
    installation.platform.set_outage(Outage::Hang);
    installation.instances[0].kill();
    write_until_acknowledged(&host, INSERT).await;
}

#[actix_rt::test]
async fn a_frozen_instance_blocks_neither_probes_nor_a_failover() {
    let (installation, host) = started().await;
    installation.instances[0].freeze();
    write_until_acknowledged(&host, INSERT).await;
    installation.instances[0].thaw();
    // The replaced primary is pointed to the new one and follows it.
    let status = || installation.instances[0].status();
    wait_until("the old primary follows the new one", || {
        status().role == Role::Replica && status().term > 1
    })
    .await;
}

#[actix_rt::test]
async fn a_lost_answer_to_the_record_does_not_stop_a_failover() {
    let (installation, host) = started().await;
    installation.platform.lose_answers(1);
    installation.instances[0].kill();
    write_until_acknowledged(&host, INSERT).await;
}

#[actix_rt::test]
async fn a_preferred_primary_is_promoted() {
    let (installation, host) = started().await;
    let config = ServiceConfig {
        preferred_primary: Some("c".into()),
        ..installation.config(2)
    };
    installation.submit(&config).await;
    let is_c = || host.primary().is_some_and(|(primary, _)| primary == "c");
    wait_until("c is the primary", is_c).await;
    write_until_acknowledged(&host, INSERT).await;
}

#[actix_rt::test]
async fn a_leaving_primary_is_replaced() {
    let (installation, host) = started().await;
    let mut config = installation.config(2);
    if let Some(instance) = config.instances.get_mut("a") {
        instance.state = InstanceState::Leaving;
    }
    installation.submit(&config).await;
    let is_other = || host.primary().is_some_and(|(primary, _)| primary != "a");
    wait_until("another instance is the primary", is_other).await;
    write_until_acknowledged(&host, INSERT).await;
}

#[actix_rt::test]
async fn new_hosts_do_not_replace_a_primary_at_its_connection_limit() {
    let installation = Installation::start().await;
    let address = installation.instances[0].address();
    let text = format!("host={} port={} user=clerk", address.ip(), address.port());
    let mut open_connections = Vec::new();
    while let Ok(connection) = tokio_postgres::connect(&text, NoTls).await {
        open_connections.push(connection);
    }
    let first = RunningHost::start(installation.settings("host-1", "delta")).await;
    let mut settings = installation.settings("host-2", "gulf");
    settings.peer_seeds = vec![first.seed()];
    let second = RunningHost::start(settings).await;
    tokio::time::sleep(LONGER_THAN_SUSPICION).await;
    assert_eq!(installation.instances[0].status().fence_term, 0);
    drop(open_connections);
    for host in [&first, &second] {
        wait_until("the primary is known", || host.primary().is_some()).await;
        assert_eq!(host.primary(), Some(("a".into(), 1)));
    }
}
