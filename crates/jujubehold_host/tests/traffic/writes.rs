//! A write is acknowledged only when it lasts, and told of as not run only when it did not.

use std::time::Duration;

use jujubehold_core::prelude::*;

use crate::support::{Bench, HANG, SERVICE, call, run, text, try_run, wait_until};

fn quick() -> ServiceConfig {
    ServiceConfig {
        statement_timeout: Duration::from_secs(3),
        ..ServiceConfig::default()
    }
}

/// A bench whose callers' deadlines are far.
async fn start_patient() -> Bench {
    let config = ServiceConfig {
        statement_timeout: 10 * HANG,
        ..ServiceConfig::default()
    };
    let mut bench = Bench::start(config).await;
    bench.create_counter().await;
    bench
}

/// The host hears that `b` is the primary of the next term.
fn announce_another_primary(bench: &Bench) {
    bench.edit_view(|view| {
        view.announce(2, &"b".into());
    });
}

/// The write's caller is told at once that its outcome is unknown, while `replacement` goes on.
async fn assert_told_of_lost_authority(
    write: impl Future<Output = Result<String, (String, String)>>,
    replacement: impl Future<Output = ()>,
) {
    let (outcome, ()) = tokio::time::timeout(HANG, async { tokio::join!(write, replacement) })
        .await
        .expect("the caller is told while its deadline is far");
    let (sqlstate, detail) = outcome.unwrap_err();
    assert_eq!(sqlstate, "08007");
    assert!(
        detail.contains("verdict=unknown reason=authority_lost"),
        "{detail}"
    );
}

#[actix_rt::test]
async fn an_acknowledged_write_is_on_a_replica() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    for n in 0..20 {
        run(&client, &format!("UPDATE counter SET n = {n}")).await;
        let position = bench.databases[0].status().applied;
        let received = bench.databases[1..].iter().map(|db| db.status().received);
        assert!(received.max() >= Some(position));
    }
}

#[actix_rt::test]
async fn a_write_is_refused_unsent_when_no_replica_can_confirm() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    bench.databases[1].kill();
    bench.databases[2].kill();
    bench.edit_view(|view| {
        view.samples.remove("b");
        view.samples.remove("c");
    });
    let before = bench.databases[0].statement_count();
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 1")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "57P03");
    assert!(
        detail.contains("verdict=not_run reason=no_confirming_replica"),
        "{detail}"
    );
    assert!(detail.contains("retry_after_ms="), "{detail}");
    assert_eq!(bench.databases[0].statement_count(), before);
}

#[actix_rt::test]
async fn a_write_goes_on_when_only_the_host_s_knowledge_is_old() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    bench.edit_view(|view| {
        view.samples.remove("b");
        view.samples.remove("c");
    });
    run(&client, "UPDATE counter SET n = 1").await;
}

#[actix_rt::test]
async fn a_write_that_no_replica_confirms_is_unknown() {
    let mut bench = Bench::start(quick()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    bench.databases[1].freeze();
    bench.databases[2].freeze();
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 1")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "08007", "{detail}");
    assert!(detail.contains("verdict=unknown"), "{detail}");
    bench.databases[1].thaw();
    bench.databases[2].thaw();
}

#[actix_rt::test]
async fn a_replaced_primary_acknowledges_nothing() {
    let mut bench = Bench::start(quick()).await;
    bench.create_counter().await;
    // A majority is fenced; neither the host nor the primary knows of it.
    bench.stop_probing();
    call(&bench.databases[1], "SELECT group_fence(2, 7)").await;
    call(&bench.databases[2], "SELECT group_fence(2, 7)").await;
    let client = bench.connect().await;
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 1")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "08007", "{detail}");
    assert!(detail.contains("verdict=unknown"), "{detail}");
}

#[actix_rt::test]
async fn a_replaced_primary_commits_nothing_of_a_transaction() {
    let mut bench = Bench::start(quick()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    run(&client, "BEGIN").await;
    run(&client, "UPDATE counter SET n = 1").await;
    bench.stop_probing();
    call(&bench.databases[1], "SELECT group_fence(2, 7)").await;
    call(&bench.databases[2], "SELECT group_fence(2, 7)").await;
    let (sqlstate, detail) = try_run(&client, "COMMIT").await.unwrap_err();
    assert_eq!(sqlstate, "08007", "{detail}");
}

#[actix_rt::test]
async fn without_confirmation_a_replaced_primary_still_acknowledges_nothing() {
    let mut bench = Bench::start(ServiceConfig {
        confirm: Confirm::None,
        ..quick()
    })
    .await;
    bench.create_counter().await;
    let client = bench.connect().await;
    run(&client, "UPDATE counter SET n = 1").await;
    bench.stop_probing();
    call(&bench.databases[1], "SELECT group_fence(2, 7)").await;
    call(&bench.databases[2], "SELECT group_fence(2, 7)").await;
    // What the host was told before the fence lapses.
    tokio::time::sleep(bench.shared.settings.authority.window).await;
    let (sqlstate, detail) = try_run(&client, "UPDATE counter SET n = 2")
        .await
        .unwrap_err();
    assert_eq!(sqlstate, "08007", "{detail}");
}

#[actix_rt::test]
async fn a_fenced_primary_s_refusal_is_not_run_and_leads_to_the_new_one() {
    let mut bench = Bench::start(quick()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    bench.stop_probing();
    for database in bench.databases.iter() {
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
    call(&bench.databases[1], "SELECT group_promote(2, 7)").await;
    let follow = format!("SELECT group_follow(2, '{}')", bench.databases[1].address());
    call(&bench.databases[0], &follow).await;
    call(&bench.databases[2], &follow).await;
    bench.probe();
    run(&client, "UPDATE counter SET n = n + 5").await;
    assert_eq!(text(&client, "SELECT n FROM counter").await, "5");
}

#[actix_rt::test]
async fn a_write_whose_connection_breaks_is_unknown_and_not_sent_again() {
    let mut bench = Bench::start(quick()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    bench.databases[0].set_service_time(Duration::from_millis(400));
    let update = client.simple_query("UPDATE counter SET n = n + 1");
    let (answer, ()) = tokio::join!(update, async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        bench.databases[0].kill();
    });
    let (sqlstate, detail) = crate::support::error_text(&answer.unwrap_err());
    assert_eq!(sqlstate, "08007");
    assert!(detail.contains("connection_lost"), "{detail}");
    bench.databases[0].set_service_time(Duration::ZERO);
    bench.databases[0].revive();
    let direct = crate::support::connect(bench.databases[0].address(), "").await;
    let n: i32 = text(&direct, "SELECT n FROM counter")
        .await
        .parse()
        .unwrap();
    assert!(n <= 1);
}

#[actix_rt::test]
async fn the_answer_s_own_token_is_raised_before_the_answer_ends() {
    let mut bench = Bench::start(ServiceConfig::default()).await;
    bench.create_counter().await;
    let client = bench.connect().await;
    assert_eq!(text(&client, "SHOW jujubehold.session").await, "");
    run(&client, "UPDATE counter SET n = 1").await;
    let first = text(&client, "SHOW jujubehold.session").await;
    run(&client, "UPDATE counter SET n = 2").await;
    let second = text(&client, "SHOW jujubehold.session").await;
    assert!(!first.is_empty());
    assert_ne!(first, second);
}

#[actix_rt::test]
async fn a_write_at_a_replaced_primary_is_told_of_before_its_deadline() {
    let bench = start_patient().await;
    let client = bench.connect().await;
    // The write goes out on a connection that is open already.
    run(&client, "UPDATE counter SET n = 1").await;
    let pools = &bench.shared.pools;
    wait_until(|| pools.idle_count(&SERVICE.into(), &"a".into()) > 0).await;
    bench.databases[0].freeze();
    let write = try_run(&client, "UPDATE counter SET n = 1");
    let replacement = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        announce_another_primary(&bench);
    };
    assert_told_of_lost_authority(write, replacement).await;
}

#[actix_rt::test]
async fn a_commit_that_waits_for_its_confirmation_is_told_of_before_its_deadline() {
    let bench = start_patient().await;
    let client = bench.connect().await;
    let before = bench.databases[0].status().applied;
    bench.databases[1].freeze();
    bench.databases[2].freeze();
    let write = try_run(&client, "UPDATE counter SET n = 1");
    let replacement = async {
        wait_until(|| bench.databases[0].status().applied > before).await;
        announce_another_primary(&bench);
    };
    assert_told_of_lost_authority(write, replacement).await;
}

#[actix_rt::test]
async fn a_write_that_waits_for_a_replaced_primary_is_refused_before_its_deadline() {
    let bench = start_patient().await;
    // The primary has 20 connections for this host, and more callers than that.
    let mut clients = Vec::new();
    for _ in 0..16 {
        clients.push(bench.connect().await);
    }
    let mut holders = Vec::new();
    for _ in 0..19 {
        let holder = bench.connect().await;
        run(&holder, "BEGIN").await;
        holders.push(holder);
    }
    // The last connection is open and free: one that is still being opened would give none of the
    // writes its turn.
    run(&clients[0], "UPDATE counter SET n = 1").await;
    let pools = &bench.shared.pools;
    wait_until(|| pools.idle_count(&SERVICE.into(), &"a".into()) == 1).await;
    bench.databases[0].freeze();
    let writes = clients
        .iter()
        .map(|client| try_run(client, "UPDATE counter SET n = 1"));
    let replacement = async {
        tokio::time::sleep(Duration::from_millis(100)).await;
        announce_another_primary(&bench);
    };
    let all = async { tokio::join!(futures_util::future::join_all(writes), replacement) };
    let (outcomes, ()) = tokio::time::timeout(HANG, all)
        .await
        .expect("the callers are told while their deadline is far");
    let details: Vec<_> = outcomes.into_iter().map(|o| o.unwrap_err().1).collect();
    let not_run = details.iter().filter(|d| d.contains("verdict=not_run"));
    let unknown = details.iter().filter(|d| d.contains("verdict=unknown"));
    assert_eq!((not_run.count(), unknown.count()), (15, 1), "{details:?}");
}
