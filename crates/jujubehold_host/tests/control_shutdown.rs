//! A graceful shutdown cuts nothing in flight.

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
        .expect("it is created");
    caller.simple_query("BEGIN").await.expect("it begins");
    host.ask_to_leave();
    wait_until("the host leaves", || host.tables.borrow().is_leaving).await;
    let idle = host.connect().await;
    wait_until("the idle session is ended", || idle.is_closed()).await;
    caller
        .simple_query("INSERT INTO issues (id) VALUES (1)")
        .await
        .expect("it is inserted");
    caller.simple_query("COMMIT").await.expect("it commits");
    wait_until("the session is ended after its transaction", || {
        caller.is_closed()
    })
    .await;
    host.ended().await;
}

#[actix_rt::test]
async fn a_statement_that_runs_is_answered() {
    let (installation, mut host) = started().await;
    let caller = host.connect().await;
    caller
        .simple_query("CREATE TABLE issues (id INTEGER)")
        .await
        .expect("it is created");
    installation.instances[0].set_service_time(Duration::from_secs(3));
    let running = actix_rt::spawn(async move {
        caller
            .simple_query("INSERT INTO issues (id) VALUES (1)")
            .await
    });
    // The statement is sent within the host's notice, and runs for longer than that.
    host.ask_to_leave();
    host.ended().await;
    running
        .await
        .expect("no panic")
        .expect("the statement is answered");
}

#[actix_rt::test]
async fn a_lent_connection_is_given_back_first() {
    let (_installation, mut host) = started().await;
    let target = ForwardTarget {
        request_id: "request-1".into(),
        service: SERVICE.into(),
        instance: "a".into(),
        term: 0,
        wait: Duration::from_secs(5),
    };
    let mut lane = BorrowedConnection::open_at(&PeerConnector::default(), &host.target(), &target)
        .await
        .expect("it opens");
    host.ask_to_leave();
    wait_until("the host leaves", || host.tables.borrow().is_leaving).await;
    // Longer than the notice, so that only the lane holds the host.
    tokio::time::sleep(Duration::from_millis(1500)).await;
    lane.send(query("SELECT 1").bytes())
        .await
        .expect("it is sent");
    loop {
        let frame = lane.receive().await.expect("the answer comes");
        if frame.tag() == backend::READY_FOR_QUERY {
            break;
        }
    }
    lane.finish().await;
    host.ended().await;
}

#[actix_rt::test]
async fn a_transaction_that_never_ends_does_not_hold_the_host_for_ever() {
    let installation = Installation::start().await;
    let settings = HostSettings {
        drain_timeout: Duration::from_millis(200),
        ..installation.settings("host-1", "delta")
    };
    let mut host = RunningHost::start(settings).await;
    wait_until("the group is known", || host.is_ready()).await;
    let caller = host.connect().await;
    caller.simple_query("BEGIN").await.expect("it begins");
    host.ask_to_leave();
    host.ended().await;
}

#[actix_rt::test]
async fn a_leaving_host_owns_nothing_in_the_eyes_of_the_others() {
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
    wait_until("both own it", || {
        owners().is_some_and(|owners| owners.len() == 2)
    })
    .await;
    first.ask_to_leave();
    let is_alone = || owners().is_some_and(|owners| owners == ["host-2"]);
    wait_until("the second owns it alone", is_alone).await;
    first.ended().await;
}

#[actix_rt::test]
async fn a_host_leaves_while_another_one_goes_on_asking_its_instance() {
    let installation = Installation::start().await;
    let settings = |host, domain, peer_seeds| HostSettings {
        // The host must end because nothing is in flight, and not by this limit.
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
    wait_until("both own the primary", || {
        owners().is_some_and(|owners: Vec<HostId>| owners.len() == 2)
    })
    .await;
    let asked_first = owners().expect("they are known").remove(0);
    let caller = entry.connect().await;
    // Each read has the primary asked for its position, since it accepts no age.
    let reading = actix_rt::spawn(async move {
        loop {
            // Which read fails and why is not what this is about.
            let _ = caller.simple_query("SELECT 1").await;
            tokio::task::yield_now().await;
        }
    });
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut hosts = [first, second];
    let leaving = hosts.iter_mut().find(|host| host.name == asked_first);
    let leaving = leaving.expect("it is one of the two");
    leaving.ask_to_leave();
    leaving.ended().await;
    reading.abort();
}
