//! Tests sessions of the stand-in database through an unmodified PostgreSQL client.

use std::time::Duration;

use crate::support::{
    connect, primary, replica, settings, sqlstate, text, try_connect, wait_until,
};
use jujubehold_standin::database::{Database, DatabaseSettings};
use tokio_postgres::NoTls;

const TABLE: &str = "CREATE TABLE shares (id BIGINT PRIMARY KEY, holder TEXT, count INT, \
                     price FLOAT8, is_open BOOL)";

#[actix_rt::test]
async fn the_extended_protocol_carries_typed_values() {
    let database = primary("a").await;
    let client = connect(database.address()).await;
    client.batch_execute(TABLE).await.unwrap();
    let insert = "INSERT INTO shares (id, holder, count, price, is_open) \
                  VALUES ($1, $2, $3, $4, $5)";
    let changed = client
        .execute(insert, &[&1i64, &"it's", &7i32, &1.5f64, &true])
        .await
        .unwrap();
    assert_eq!(changed, 1);
    let row = client
        .query_one("SELECT * FROM shares WHERE id = $1", &[&1i64])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i64>(0), 1);
    assert_eq!(row.get::<_, String>(1), "it's");
    assert_eq!(row.get::<_, i32>(2), 7);
    assert!((row.get::<_, f64>(3) - 1.5).abs() < f64::EPSILON);
    assert!(row.get::<_, bool>(4));
    let sql = "UPDATE shares SET count = count + $1 WHERE holder = $2 AND id = $3";
    assert_eq!(
        client.execute(sql, &[&1i32, &"it's", &1i64]).await.unwrap(),
        1
    );
    let row = client
        .query_one("SELECT count(*), sum(count) FROM shares", &[])
        .await
        .unwrap();
    assert_eq!((row.get::<_, i64>(0), row.get::<_, i64>(1)), (1, 8));
    let row = client
        .query_one("SELECT $1::bigint, 1", &[&9i64])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i32>(1), 1);
}

#[actix_rt::test]
async fn written_values_are_replicated_as_literals() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    let client = connect(first.address()).await;
    client.batch_execute(TABLE).await.unwrap();
    let insert = "INSERT INTO shares (id, holder) VALUES ($1, $2)";
    client.execute(insert, &[&1i64, &"it's"]).await.unwrap();
    wait_until("the replica applies", || second.status().applied == 2).await;
    let reader = connect(second.address()).await;
    assert_eq!(text(&reader, "SELECT holder FROM shares").await, "it's");
}

#[actix_rt::test]
async fn a_failed_transaction_accepts_only_its_end() {
    let database = primary("a").await;
    let client = connect(database.address()).await;
    client.batch_execute(TABLE).await.unwrap();
    text(&client, "BEGIN").await;
    text(&client, "INSERT INTO shares (id) VALUES (1)").await;
    assert_eq!(
        sqlstate(&client, "INSERT INTO shares (id) VALUES (1)").await,
        "23505"
    );
    assert_eq!(sqlstate(&client, "SELECT 1").await, "25P02");
    text(&client, "COMMIT").await;
    assert_eq!(text(&client, "SELECT count(*) FROM shares").await, "0");
    assert_eq!(database.status().received, 1);
}

#[actix_rt::test]
async fn several_statements_of_one_query_are_one_transaction() {
    let database = primary("a").await;
    let client = connect(database.address()).await;
    client.batch_execute(TABLE).await.unwrap();
    let sql = "INSERT INTO shares (id) VALUES (1); INSERT INTO shares (id) VALUES (1)";
    assert_eq!(sqlstate(&client, sql).await, "23505");
    assert_eq!(text(&client, "SELECT count(*) FROM shares").await, "0");
    text(
        &client,
        "INSERT INTO shares (id) VALUES (1); INSERT INTO shares (id) VALUES (2)",
    )
    .await;
    assert_eq!(text(&client, "SELECT count(*) FROM shares").await, "2");
    assert_eq!(database.status().received, 2);
}

#[actix_rt::test]
async fn savepoints_are_replicated_as_they_were_rolled_back() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    let client = connect(first.address()).await;
    client.batch_execute(TABLE).await.unwrap();
    client
        .batch_execute(
            "BEGIN; INSERT INTO shares (id) VALUES (1); SAVEPOINT s; \
             INSERT INTO shares (id) VALUES (2); ROLLBACK TO s; COMMIT",
        )
        .await
        .unwrap();
    wait_until("the replica applies", || second.status().applied == 2).await;
    let reader = connect(second.address()).await;
    assert_eq!(
        text(&reader, "SELECT group_concat(id) FROM shares").await,
        "1"
    );
}

#[actix_rt::test]
async fn a_writer_waits_for_another_transaction() {
    let database = primary("a").await;
    let holder = connect(database.address()).await;
    let waiter = connect(database.address()).await;
    holder.batch_execute(TABLE).await.unwrap();
    text(&holder, "BEGIN; INSERT INTO shares (id) VALUES (1)").await;
    let wait = text(&waiter, "INSERT INTO shares (id) VALUES (2)");
    let release = async {
        wait_until("the waiting statement has started", || {
            database.statement_count() >= 3
        })
        .await;
        text(&holder, "COMMIT").await;
    };
    futures_util::future::join(wait, release).await;
    assert_eq!(
        text(&holder, "SELECT group_concat(id) FROM shares").await,
        "1,2"
    );
}

#[actix_rt::test]
async fn a_transaction_can_write_after_another_one_committed_since_its_first_read() {
    let database = primary("a").await;
    let first = connect(database.address()).await;
    let second = connect(database.address()).await;
    first.batch_execute(TABLE).await.unwrap();
    text(&first, "BEGIN").await;
    assert_eq!(text(&first, "SELECT count(*) FROM shares").await, "0");
    text(&second, "INSERT INTO shares (id) VALUES (1)").await;
    text(&first, "INSERT INTO shares (id) VALUES (2)").await;
    assert_eq!(text(&first, "SELECT count(*) FROM shares").await, "2");
    text(&first, "COMMIT").await;
    assert_eq!(database.status().received, 3);
}

#[actix_rt::test]
async fn concurrent_transactions_are_serialized() {
    let database = primary("a").await;
    let setup = connect(database.address()).await;
    setup.batch_execute(TABLE).await.unwrap();
    let writers = (0..6).map(|number| {
        let address = database.address();
        async move {
            let client = connect(address).await;
            for step in 0..5 {
                text(&client, "BEGIN").await;
                let id = number * 10 + step;
                text(&client, &format!("INSERT INTO shares (id) VALUES ({id})")).await;
                text(&client, "COMMIT").await;
            }
        }
    });
    futures_util::future::join_all(writers).await;
    assert_eq!(text(&setup, "SELECT count(*) FROM shares").await, "30");
}

#[actix_rt::test]
async fn connections_over_the_limit_are_refused() {
    let database = Database::start(DatabaseSettings {
        connection_limit: 1,
        ..settings("a")
    })
    .await
    .unwrap();
    let held = connect(database.address()).await;
    let error = try_connect(database.address())
        .await
        .expect_err("the connection limit is enforced");
    assert_eq!(
        error.code().map(|code| code.code().to_owned()).as_deref(),
        Some("53300")
    );
    drop(held);
    wait_until("the connection is free again", || {
        database.connection_count() == 0
    })
    .await;
    connect(database.address()).await;
}

#[actix_rt::test]
async fn a_cancel_ends_the_running_statement_and_frees_its_slot() {
    let database = Database::start(DatabaseSettings {
        slots: 1,
        ..settings("a")
    })
    .await
    .unwrap();
    let sleeper = connect(database.address()).await;
    let other = connect(database.address()).await;
    let token = sleeper.cancel_token();
    let asleep = sqlstate(&sleeper, "SELECT pg_sleep(600)");
    let cancel = async {
        tokio::time::sleep(Duration::from_millis(50)).await;
        token.cancel_query(NoTls).await.unwrap();
    };
    let (state, ()) = futures_util::future::join(asleep, cancel).await;
    assert_eq!(state, "57014");
    assert_eq!(text(&other, "SELECT 1").await, "1");
}

#[actix_rt::test]
async fn a_frozen_instance_answers_once_thawed() {
    let database = primary("a").await;
    let client = connect(database.address()).await;
    database.freeze();
    let query = text(&client, "SELECT 1");
    tokio::pin!(query);
    let early = tokio::time::timeout(Duration::from_millis(50), &mut query).await;
    assert!(early.is_err(), "a frozen instance answered");
    database.thaw();
    assert_eq!(query.await, "1");
}

#[actix_rt::test]
async fn a_killed_instance_drops_open_transactions() {
    let database = primary("a").await;
    let client = connect(database.address()).await;
    client.batch_execute(TABLE).await.unwrap();
    text(&client, "BEGIN; INSERT INTO shares (id) VALUES (1)").await;
    database.kill();
    assert!(client.simple_query("COMMIT").await.is_err());
    assert!(try_connect(database.address()).await.is_err());
    database.revive();
    let mut client = try_connect(database.address()).await;
    while client.is_err() {
        tokio::time::sleep(Duration::from_millis(5)).await;
        client = try_connect(database.address()).await;
    }
    assert_eq!(
        text(&client.unwrap(), "SELECT count(*) FROM shares").await,
        "0"
    );
}
