//! A graceful shutdown interrupts nothing in flight.

#[path = "support/control.rs"]
mod control;

use std::time::Duration;

use control::{HANG_LIMIT, Installation, RunningHost, SERVICE, wait_until};
use jujubehold_core::prelude::*;
use jujubehold_host::peer::{BorrowedConnection, ForwardTarget, PeerConnector};
use jujubehold_pg::{backend, query};
use jujubehold_settings::HostSettings;

async fn started() -> (Installation, RunningHost) {
    let installation = Installation::start().await;
    let host = RunningHost::start(installation.settings("host-1", "delta")).await;
    wait_until("the group is known", || host.is_ready()).await;
    (installation, host)
}

#[actix_rt::test]
async fn an_open_transaction_ends_before_the_host_does() {
    let (_installation, mut host) = started().await;
    let caller = host.connect().await;
    caller
        .simple_query("CREATE TABLE issues (id INTEGER)")
        .await
        .expect("the table is created");
    caller
        .simple_query("BEGIN")
        .await
        .expect("the transaction begins");
    host.request_drain();
    wait_until("the host announces that it leaves", || {
        host.tables.borrow().is_leaving
    })
    .await;
    let idle = host.connect().await;
    wait_until("the idle session is ended", || idle.is_closed()).await;
    caller
        .simple_query("INSERT INTO issues (id) VALUES (1)")
        .await
        .expect("the row is inserted");
    caller
        .simple_query("COMMIT")
        .await
        .expect("the transaction commits");
    wait_until("the session is ended after its transaction", || {
        caller.is_closed()
    })
    .await;
    host.wait_until_stopped().await;
}

#[actix_rt::test]
async fn a_running_statement_is_answered() {
    let (installation, mut host) = started().await;
    let caller = host.connect().await;
    caller
        .simple_query("CREATE TABLE issues (id INTEGER)")
        .await
        .expect("the table is created");
    installation.instances[0].set_service_time(Duration::from_secs(3));
    let running = actix_rt::spawn(async move {
        caller
            .simple_query("INSERT INTO issues (id) VALUES (1)")
            .await
    });
    // The statement is sent within the drain's notice period and runs for longer than that.
    host.request_drain();
    host.wait_until_stopped().await;
    running
        .await
        .expect("the caller does not panic")
        .expect("the statement is answered");
}

#[actix_rt::test]
async fn a_host_waits_for_the_return_of_a_lent_connection() {
    let (_installation, mut host) = started().await;
    let target = ForwardTarget {
        request_id: "request-1".into(),
        service: SERVICE.into(),
        instance: "a".into(),
        term: 0,
        wait: Duration::from_secs(5),
    };
    let mut borrowed =
        BorrowedConnection::open_at(&PeerConnector::default(), &host.target(), &target)
            .await
            .expect("the host lends a connection");
    host.request_drain();
    wait_until("the host announces that it leaves", || {
        host.tables.borrow().is_leaving
    })
    .await;
    // Longer than the notice period, so that only the lent connection delays the shutdown.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    borrowed
        .send(query("SELECT 1").bytes())
        .await
        .expect("the query is sent");
    loop {
        let frame = borrowed.receive().await.expect("a response arrives");
        if frame.tag() == backend::READY_FOR_QUERY {
            break;
        }
    }
    borrowed.finish().await;
    host.wait_until_stopped().await;
}

#[actix_rt::test]
async fn the_drain_timeout_limits_the_wait_for_an_open_transaction() {
    let installation = Installation::start().await;
    let settings = HostSettings {
        drain_timeout: Duration::from_millis(200),
        ..installation.settings("host-1", "delta")
    };
    let mut host = RunningHost::start(settings).await;
    wait_until("the group is known", || host.is_ready()).await;
    let caller = host.connect().await;
    caller
        .simple_query("BEGIN")
        .await
        .expect("the transaction begins");
    host.request_drain();
    host.wait_until_stopped().await;
}

// Guards against connections that are cut at the end of the drain without an answer to what was asked.
#[actix_rt::test]
async fn callers_are_answered_before_a_drain_that_times_out_ends_the_host() {
    let installation = Installation::start().await;
    let settings = HostSettings {
        drain_timeout: Duration::from_secs(3),
        ..installation.settings("host-1", "delta")
    };
    let mut host = RunningHost::start(settings).await;
    wait_until("the group is known", || host.is_ready()).await;
    let writer = host.connect().await;
    writer
        .simple_query("CREATE TABLE issues (id INTEGER)")
        .await
        .expect("the table is created");
    let in_transaction = host.connect().await;
    for text in ["BEGIN", "INSERT INTO issues (id) VALUES (1)"] {
        let begun = in_transaction.simple_query(text).await;
        begun.expect("the transaction is open");
    }
    // Longer than the test.
    installation.instances[0].set_service_time(Duration::from_hours(1));
    let write = writer.simple_query("INSERT INTO issues (id) VALUES (2)");
    let second = in_transaction.simple_query("INSERT INTO issues (id) VALUES (3)");
    let stop = async {
        tokio::time::sleep(Duration::from_millis(300)).await;
        host.request_drain();
        host.wait_until_stopped().await;
    };
    let (write, second, ()) = tokio::join!(write, second, stop);
    for answer in [write, second] {
        let error = answer.expect_err("the upstream does not answer");
        let code = error.code();
        let code = code.unwrap_or_else(|| panic!("the host does not answer: {error:?}"));
        assert_eq!(code.code(), "08007", "{error:?}");
    }
}

#[actix_rt::test]
async fn other_hosts_do_not_count_a_leaving_host_as_an_owner() {
    let (installation, mut first) = started().await;
    let settings = HostSettings {
        peer_seeds: vec![first.seed()],
        ..installation.settings("host-2", "delta")
    };
    let second = RunningHost::start(settings).await;
    let owners = || {
        let route = second.route()?;
        let owners = route.owners.get("a")?;
        Some(
            owners
                .iter()
                .map(|owner| owner.host.to_string())
                .collect::<Vec<_>>(),
        )
    };
    wait_until("both hosts own the instance", || {
        owners().is_some_and(|owners| owners.len() == 2)
    })
    .await;
    first.request_drain();
    let is_alone = || owners().is_some_and(|owners| owners == ["host-2"]);
    wait_until("only the second host owns the instance", is_alone).await;
    first.wait_until_stopped().await;
}

#[actix_rt::test]
async fn a_host_drains_while_another_one_keeps_querying_its_instance() {
    let installation = Installation::start().await;
    let settings = |host, domain, peer_seeds| HostSettings {
        // The host must stop because nothing is in flight, and not because of this timeout.
        drain_timeout: 10 * HANG_LIMIT,
        peer_seeds,
        ..installation.settings(host, domain)
    };
    let first = RunningHost::start(settings("host-1", "delta", vec![])).await;
    let seeds = vec![first.seed()];
    let second = RunningHost::start(settings("host-2", "delta", seeds.clone())).await;
    let entry = RunningHost::start(settings("host-3", "piedmont", seeds)).await;
    let owners = || {
        let route = entry.route()?;
        let owners = route.owners.get("a")?;
        Some(owners.iter().map(|owner| owner.host.clone()).collect())
    };
    wait_until("both hosts own the primary", || {
        owners().is_some_and(|owners: Vec<HostId>| owners.len() == 2)
    })
    .await;
    let preferred_owner = owners().expect("the owners are known").remove(0);
    let caller = entry.connect().await;
    // Each read queries the primary's position, because it accepts no staleness.
    let reading = actix_rt::spawn(async move {
        loop {
            // The test does not depend on which reads fail.
            let _ = caller.simple_query("SELECT 1").await;
            tokio::task::yield_now().await;
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut hosts = [first, second];
    let leaving = hosts.iter_mut().find(|host| host.name == preferred_owner);
    let leaving = leaving.expect("the preferred owner is one of the two hosts");
    leaving.request_drain();
    leaving.wait_until_stopped().await;
    reading.abort();
}
