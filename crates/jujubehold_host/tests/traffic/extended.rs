//! Tests an unmodified client of the extended protocol.

use jujubehold_core::prelude::*;
use tokio_postgres::types::Type;

use crate::support::{Fixture, error_text, run};

#[actix_rt::test]
async fn prepared_statements_work_on_every_connection_of_their_caller() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let first = fixture.connect().await;
    let second = fixture.connect().await;
    // Both callers use the same name for their first statement.
    let types = [Type::INT4];
    let insert = first
        .prepare_typed("INSERT INTO counter VALUES ($1)", &types)
        .await
        .unwrap();
    let select = second
        .prepare_typed("SELECT n FROM counter WHERE n >= $1 ORDER BY n", &types)
        .await
        .unwrap();
    for n in 1..10_i32 {
        assert_eq!(first.execute(&insert, &[&n]).await.unwrap(), 1);
        let rows = second.query(&select, &[&n]).await.unwrap();
        assert_eq!(rows.len(), 1);
        assert_eq!(rows[0].get::<_, i32>(0), n);
    }
}

#[actix_rt::test]
async fn an_answer_matches_its_request_in_a_pipeline() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    let asked: Vec<i32> = (1..50).collect();
    for n in &asked {
        run(&client, &format!("INSERT INTO counter VALUES ({n})")).await;
    }
    let select = client
        .prepare_typed("SELECT n FROM counter WHERE n = $1", &[Type::INT4])
        .await
        .unwrap();
    let queries = asked.iter().map(|n| async {
        let row = client.query_one(&select, &[n]).await.unwrap();
        row.get::<_, i32>(0)
    });
    let answers = futures_util::future::join_all(queries).await;
    assert_eq!(answers, asked);
}

#[actix_rt::test]
async fn an_error_affects_only_its_own_request() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    let error = client
        .prepare("SELECT nothing FROM nowhere")
        .await
        .unwrap_err();
    assert!(error.code().is_some());
    // A failed statement must fail again, rather than count as prepared.
    let error = client
        .prepare("SELECT nothing FROM nowhere")
        .await
        .unwrap_err();
    assert!(error.code().is_some());
    let rows = client.query("SELECT n FROM counter", &[]).await.unwrap();
    assert_eq!(rows[0].get::<_, i32>(0), 0);
}

#[actix_rt::test]
async fn a_transaction_of_the_extended_protocol_stays_on_its_connection() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let mut client = fixture.connect().await;
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("UPDATE counter SET n = 8", &[])
        .await
        .unwrap();
    let row = transaction
        .query_one("SELECT n FROM counter", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i32>(0), 8);
    transaction.commit().await.unwrap();
    let row = client
        .query_one("SELECT n FROM counter", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, i32>(0), 8);
}

#[actix_rt::test]
async fn session_commands_and_refusals_work_in_the_extended_protocol() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    run(&client, "UPDATE counter SET n = 1").await;
    let row = client
        .query_one("SHOW jujubehold.session", &[])
        .await
        .unwrap();
    assert!(!row.get::<_, String>(0).is_empty());
    client
        .execute("RESET jujubehold.session", &[])
        .await
        .unwrap();
    let row = client
        .query_one("SHOW jujubehold.session", &[])
        .await
        .unwrap();
    assert_eq!(row.get::<_, String>(0), "");
    let error = client.execute("LISTEN something", &[]).await.unwrap_err();
    assert_eq!(error_text(&error).0, "0A000");
    assert_eq!(
        client
            .execute("UPDATE counter SET n = 2", &[])
            .await
            .unwrap(),
        1
    );
}

#[actix_rt::test]
async fn many_statements_do_not_exhaust_an_upstream_connection() {
    let mut fixture = Fixture::start(ServiceConfig::default()).await;
    fixture.create_counter().await;
    let client = fixture.connect().await;
    for n in 0..300 {
        let sql = format!("SELECT n FROM counter WHERE n < {n} + 1");
        let row = client.query_one(&sql, &[]).await.unwrap();
        assert_eq!(row.get::<_, i32>(0), 0);
    }
    let sql = "SELECT n FROM counter WHERE n < 0 + 1";
    let row = client.query_one(sql, &[]).await.unwrap();
    assert_eq!(row.get::<_, i32>(0), 0);
}
