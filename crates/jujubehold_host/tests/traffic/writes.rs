//! Tests that a write is acknowledged only if it is durable, and reported as not run only if it did
//! not run.

use std::time::Duration;

use jujubehold_core::prelude::*;
use tokio_postgres::Client;

use crate::support::{Fixture, HANG_TIMEOUT, SERVICE, call, run, text, try_run, wait_until};

fn with_short_timeout() -> ServiceConfig {
    ServiceConfig {
        statement_timeout: Duration::from_secs(3),
        ..ServiceConfig::default()
    }
}

/// Starts a fixture with a long statement timeout.
async fn start_with_long_timeout() -> Fixture {
    let config = ServiceConfig {
        statement_timeout: 10 * HANG_TIMEOUT,
        ..ServiceConfig::default()
    };
    let mut fixture = Fixture::start(config).await;
    fixture.create_counter().await;
    fixture
}

/// Announces to the host that `b` is the primary of the next term.
fn announce_another_primary(fixture: &Fixture) {
    fixture.edit_view(|view| {
        view.announce(2, &"b".into());
    });
}

/// Asserts that the write's caller learns that the outcome is unknown once `replacement` happens,
/// rather than at its deadline.
async fn assert_authority_lost_is_reported(
    write: impl Future<Output = Result<String, (String, String)>>,
    replacement: impl Future<Output = ()>,
) {
    let (outcome, ()) =
        tokio::time::timeout(HANG_TIMEOUT, async { tokio::join!(write, replacement) })
            .await
            .expect("the caller is informed long before its deadline");
    let (sqlstate, detail) = outcome.unwrap_err();
    assert_eq!(sqlstate, "08007");
    assert!(
        detail.contains("verdict=unknown reason=authority_lost"),
        "{detail}"
    );
}

#[actix_rt::test]
async fn an_acknowledged_write_is_on_a_replica() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    for n in 0..20 {
        run(&client, &format!("UPDATE counter SET n = {n}")).await;
        let position = fixture.databases[0].status().applied;
        let received = fixture.databases[1..].iter().map(|db| db.status().received);
        assert!(received.max() >= Some(position));
    }
}

#[actix_rt::test]
async fn a_write_is_refused_unsent_when_no_replica_can_confirm() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    fixture.databases[1].kill();
    fixture.databases[2].kill();
    fixture.edit_view(|view| {
        view.samples.remove("b");
        view.samples.remove("c");
    });
    let before = fixture.databases[0].statement_count();
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 1")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "57P03");
    assert!(
        detail.contains("verdict=not_run reason=no_confirming_replica"),
        "{detail}"
    );
    assert!(detail.contains("retry_after_ms="), "{detail}");
    assert_eq!(fixture.databases[0].statement_count(), before);
}

#[actix_rt::test]
async fn a_write_succeeds_if_only_the_host_s_samples_are_outdated() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    fixture.edit_view(|view| {
        view.samples.remove("b");
        view.samples.remove("c");
    });
    run(&client, "UPDATE counter SET n = 1").await;
}

#[actix_rt::test]
async fn a_write_that_no_replica_confirms_is_unknown() {
    let mut fixture = Fixture::start(with_short_timeout()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    fixture.databases[1].freeze();
    fixture.databases[2].freeze();
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 1")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "08007", "{detail}");
    assert!(detail.contains("verdict=unknown"), "{detail}");
    fixture.databases[1].thaw();
    fixture.databases[2].thaw();
}

#[actix_rt::test]
async fn a_replaced_primary_acknowledges_nothing() {
    let mut fixture = Fixture::start(with_short_timeout()).await;
    fixture.create_counter().await;
    // A majority is fenced; neither the host nor the primary knows of it.
    fixture.stop_probing();
    call(&fixture.databases[1], "SELECT group_fence(2, 7)").await;
    call(&fixture.databases[2], "SELECT group_fence(2, 7)").await;
    let client = fixture.connect().await;
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 1")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "08007", "{detail}");
    assert!(detail.contains("verdict=unknown"), "{detail}");
}

#[actix_rt::test]
async fn a_replaced_primary_commits_nothing_of_a_transaction() {
    let mut fixture = Fixture::start(with_short_timeout()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "BEGIN").await;
    run(&client, "UPDATE counter SET n = 1").await;
    fixture.stop_probing();
    call(&fixture.databases[1], "SELECT group_fence(2, 7)").await;
    call(&fixture.databases[2], "SELECT group_fence(2, 7)").await;
    let (sqlstate, detail) = try_run(&client, "COMMIT").await.unwrap_err();
    assert_eq!(sqlstate, "08007", "{detail}");
}

#[actix_rt::test]
async fn without_confirmation_a_replaced_primary_still_acknowledges_nothing() {
    let mut fixture = Fixture::start(ServiceConfig {
        confirm: Confirm::None,
        ..with_short_timeout()
    })
    .await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 1").await;
    fixture.stop_probing();
    call(&fixture.databases[1], "SELECT group_fence(2, 7)").await;
    call(&fixture.databases[2], "SELECT group_fence(2, 7)").await;
    // The statuses that the host received before the fence expire.
    tokio::time::sleep(fixture.shared.settings.authority.window).await;
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 2")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "08007", "{detail}");
}

#[actix_rt::test]
async fn a_fenced_primary_s_refusal_is_not_run_and_later_writes_use_the_new_primary() {
    let mut fixture = Fixture::start(with_short_timeout()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    fixture.stop_probing();
    for database in fixture.databases.iter() {
        call(database, "SELECT group_fence(2, 7)").await;
    }
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 1")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "57P03", "{detail}");
    assert!(
        detail.contains("verdict=not_run reason=no_primary"),
        "{detail}"
    );
    call(&fixture.databases[1], "SELECT group_promote(2, 7)").await;
    let follow = format!(
        "SELECT group_follow(2, '{}')",
        fixture.databases[1].address()
    );
    call(&fixture.databases[0], &follow).await;
    call(&fixture.databases[2], &follow).await;
    fixture.probe();
    run(&client, "UPDATE counter SET n = n + 5").await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "5");
}

#[actix_rt::test]
async fn a_write_whose_connection_breaks_is_unknown_and_not_retried() {
    let mut fixture = Fixture::start(with_short_timeout()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    fixture.databases[0].set_service_time(Duration::from_millis(400));
    let before = fixture.databases[0].statement_count();
    let update = client.simple_query("UPDATE counter SET n = n + 1");
    let (answer, ()) = tokio::join!(update, async {
        wait_until(|| fixture.databases[0].statement_count() > before).await;
        fixture.databases[0].kill();
    });
    let (sqlstate, detail) = crate::support::error_text(&answer.unwrap_err());
    assert_eq!(sqlstate, "08007");
    assert!(detail.contains("connection_lost"), "{detail}");
    fixture.databases[0].set_service_time(Duration::ZERO);
    fixture.databases[0].revive();
    let direct = crate::support::connect(fixture.databases[0].address(), "").await;
    let n: i32 = text(&direct, "SELECT n FROM counter")
        .await
        .parse()
        .unwrap();
    assert!(n <= 1);
}

#[actix_rt::test]
async fn the_token_is_raised_before_the_answer_ends() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    assert_eq!(text(&client, "SHOW jujubehold.session").await, "");
    run(&client, "UPDATE counter SET n = 1").await;
    let first = text(&client, "SHOW jujubehold.session").await;
    run(&client, "UPDATE counter SET n = 2").await;
    let second = text(&client, "SHOW jujubehold.session").await;
    assert!(!first.is_empty());
    assert_ne!(first, second);
}

#[actix_rt::test]
async fn a_write_at_a_replaced_primary_is_reported_before_its_deadline() {
    let fixture = start_with_long_timeout().await;
    let client = fixture.connect().await;
    // The write is sent on a connection that is already open.
    run(&client, "UPDATE counter SET n = 1").await;
    let pools = &fixture.shared.pools;
    wait_until(|| pools.idle_count(&SERVICE.into(), &"a".into()) > 0).await;
    fixture.databases[0].freeze();
    let write = try_run(&client, "UPDATE counter SET n = 1");
    let replacement = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        announce_another_primary(&fixture);
    };
    assert_authority_lost_is_reported(write, replacement).await;
}

#[actix_rt::test]
async fn an_unconfirmed_commit_at_a_replaced_primary_is_reported_before_its_deadline() {
    let fixture = start_with_long_timeout().await;
    let client = fixture.connect().await;
    let before = fixture.databases[0].status().applied;
    fixture.databases[1].freeze();
    fixture.databases[2].freeze();
    let write = try_run(&client, "UPDATE counter SET n = 1");
    let replacement = async {
        wait_until(|| fixture.databases[0].status().applied > before).await;
        announce_another_primary(&fixture);
    };
    assert_authority_lost_is_reported(write, replacement).await;
}

/// Asserts that each BEGIN is reported as not run once another primary is announced, rather than at
/// its deadline.
async fn assert_begins_are_refused(fixture: &Fixture, clients: &[Client]) {
    let begins = clients.iter().map(|client| try_run(client, "BEGIN"));
    let replacement = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        announce_another_primary(fixture);
    };
    let all = async { tokio::join!(futures_util::future::join_all(begins), replacement) };
    let (outcomes, ()) = tokio::time::timeout(HANG_TIMEOUT, all)
        .await
        .expect("the callers are informed long before their deadline");
    for outcome in outcomes {
        let (_, detail) = outcome.unwrap_err();
        assert!(detail.contains("verdict=not_run"), "{detail}");
    }
}

// A BEGIN that waited for a replaced primary until its deadline held one of the slots with which
// the next primary's writes are admitted.
#[actix_rt::test]
async fn a_begin_at_a_replaced_primary_is_refused_before_its_deadline() {
    let fixture = start_with_long_timeout().await;
    let client = fixture.connect().await;
    // The BEGIN is sent on a connection that is already open.
    run(&client, "UPDATE counter SET n = 1").await;
    let pools = &fixture.shared.pools;
    wait_until(|| pools.idle_count(&SERVICE.into(), &"a".into()) > 0).await;
    fixture.databases[0].freeze();
    assert_begins_are_refused(&fixture, &[client]).await;
}

#[actix_rt::test]
async fn a_begin_queued_for_a_replaced_primary_is_refused_before_its_deadline() {
    let fixture = start_with_long_timeout().await;
    // All of the primary's 20 connections for this host are in use.
    let mut holders = Vec::new();
    for _ in 0..20 {
        let holder = fixture.connect().await;
        run(&holder, "BEGIN").await;
        holders.push(holder);
    }
    let clients = [fixture.connect().await, fixture.connect().await];
    assert_begins_are_refused(&fixture, &clients).await;
}

#[actix_rt::test]
async fn a_write_queued_for_a_replaced_primary_is_refused_before_its_deadline() {
    let fixture = start_with_long_timeout().await;
    // The primary has 20 connections for this host, fewer than there are callers.
    let mut clients = Vec::new();
    for _ in 0..16 {
        clients.push(fixture.connect().await);
    }
    let mut holders = Vec::new();
    for _ in 0..19 {
        let holder = fixture.connect().await;
        run(&holder, "BEGIN").await;
        holders.push(holder);
    }
    // The last connection must be open and idle: with one that is still being opened, none of the
    // writes could be sent.
    run(&clients[0], "UPDATE counter SET n = 1").await;
    let pools = &fixture.shared.pools;
    wait_until(|| pools.idle_count(&SERVICE.into(), &"a".into()) == 1).await;
    fixture.databases[0].freeze();
    let writes = clients
        .iter()
        .map(|client| try_run(client, "UPDATE counter SET n = 1"));
    let replacement = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        announce_another_primary(&fixture);
    };
    let all = async { tokio::join!(futures_util::future::join_all(writes), replacement) };
    let (outcomes, ()) = tokio::time::timeout(HANG_TIMEOUT, all)
        .await
        .expect("the callers are informed long before their deadline");
    let details: Vec<_> = outcomes.into_iter().map(|o| o.unwrap_err().1).collect();
    let not_run = details.iter().filter(|d| d.contains("verdict=not_run"));
    let unknown = details.iter().filter(|d| d.contains("verdict=unknown"));
    assert_eq!((not_run.count(), unknown.count()), (15, 1), "{details:?}");
}
