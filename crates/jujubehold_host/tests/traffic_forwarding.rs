//! Tests callers of a host that owns no connections to the instances that it needs.

#[path = "support/control.rs"]
mod control;

use std::collections::BTreeMap;
use std::time::Duration;

use control::{Installation, RunningHost, wait_until};
use jujubehold_host::routing_table::Owner;
use tokio_postgres::Client;
use tokio_postgres::types::Type;

/// Starts hosts in the three domains of the instances, and waits until each host knows the owners
/// of all instances.
async fn start_hosts_with_owners() -> (Installation, Vec<RunningHost>) {
    let installation = Installation::start().await;
    let mut hosts: Vec<RunningHost> = Vec::new();
    for (name, domain) in [
        ("host-1", "delta"),
        ("host-2", "piedmont"),
        ("host-3", "gulf"),
    ] {
        let mut settings = installation.settings(name, domain);
        settings.peer_seeds = hosts.iter().map(RunningHost::seed).collect();
        let host = RunningHost::start(settings).await;
        installation
            .list_host(name, domain, host.peer_address)
            .await;
        hosts.push(host);
    }
    for host in &hosts {
        wait_until("every instance has one owner", || {
            let Some(route) = host.route() else {
                return false;
            };
            let has_primary = route.view.primary.is_some() && route.view.samples.len() == 3;
            has_primary && has_owners(&route.owners, &host.name)
        })
        .await;
    }
    (installation, hosts)
}

fn has_owners(owners: &BTreeMap<smol_str::SmolStr, Vec<Owner>>, host: &str) -> bool {
    let expected = [("a", "host-1"), ("b", "host-2"), ("c", "host-3")];
    expected.iter().all(|(instance, owner)| {
        owners.get(*instance).is_some_and(|owners| {
            owners.len() == 1 && owners[0].host == *owner && owners[0].is_local == (host == *owner)
        })
    })
}

async fn run(client: &Client, sql: &str) {
    let answer = tokio::time::timeout(control::HANG_LIMIT, client.simple_query(sql)).await;
    answer.expect("the operation timed out").expect(sql);
}

#[actix_rt::test]
async fn a_session_that_moves_between_hosts_sees_its_writes() {
    let (installation, hosts) = start_hosts_with_owners().await;
    let first = hosts[2].connect().await;
    run(&first, "CREATE TABLE casks (id INTEGER)").await;
    for instance in &installation.instances {
        instance.set_apply_lag(Duration::from_millis(100));
    }
    let types = [Type::INT4];
    let insert = first
        .prepare_typed("INSERT INTO casks (id) VALUES ($1)", &types)
        .await
        .unwrap();
    for id in 1..6_i32 {
        assert_eq!(first.execute(&insert, &[&id]).await.unwrap(), 1);
        let token: String = first
            .query_one("SHOW jujubehold.session", &[])
            .await
            .unwrap()
            .get(0);
        for host in &hosts {
            let reconnected = host.connect().await;
            run(&reconnected, &format!("SET jujubehold.session = '{token}'")).await;
            let select = reconnected
                .prepare_typed("SELECT id FROM casks WHERE id = $1", &types)
                .await
                .unwrap();
            let row = reconnected.query_one(&select, &[&id]).await.unwrap();
            assert_eq!(row.get::<_, i32>(0), id);
        }
    }
}

#[actix_rt::test]
async fn a_transaction_on_a_lent_connection_is_rolled_back_when_its_caller_disconnects() {
    let (installation, hosts) = start_hosts_with_owners().await;
    let mut client = hosts[1].connect().await;
    run(&client, "CREATE TABLE casks (id INTEGER)").await;
    let transaction = client.transaction().await.unwrap();
    transaction
        .execute("INSERT INTO casks (id) VALUES (1)", &[])
        .await
        .unwrap();
    transaction.commit().await.unwrap();
    run(&client, "BEGIN").await;
    run(&client, "INSERT INTO casks (id) VALUES (2)").await;
    let primary = &installation.instances[0];
    let connections_in_transaction = primary.connection_count();
    drop(client);
    wait_until("the owner closes the connection", || {
        primary.connection_count() < connections_in_transaction
    })
    .await;
    let other = hosts[2].connect().await;
    let rows = other.query("SELECT id FROM casks", &[]).await.unwrap();
    assert_eq!(rows.len(), 1);
}

// The host that borrows a connection closes a statement before it prepares it. If that preparation
// fails, the owner still listed the statement, and its callers were told that it does not exist.
#[actix_rt::test]
async fn an_owner_does_not_use_a_statement_that_another_host_closed() {
    let (installation, hosts) = start_hosts_with_owners().await;
    // The owner's callers and the other host share one connection.
    let mut config = installation.config(2);
    config.instances.get_mut("a").unwrap().connections = 1;
    installation.submit(&config).await;
    for host in &hosts {
        wait_until("the configuration is known", || host.generation() == 2).await;
    }
    let owner = hosts[0].connect().await;
    run(&owner, "CREATE TABLE casks (id INTEGER)").await;
    let borrower = hosts[1].connect().await;
    let (sql, types) = ("INSERT INTO casks (id) VALUES ($1)", [Type::INT4]);
    let insert = owner.prepare_typed(sql, &types).await.unwrap();
    let borrowed_insert = borrower.prepare_typed(sql, &types).await.unwrap();
    for id in 0..8_i32 {
        assert_eq!(owner.execute(&insert, &[&id]).await.unwrap(), 1);
        run(&borrower, "BEGIN").await;
        assert!(borrower.simple_query("SELECT nothing").await.is_err());
        let failed = borrower.execute(&borrowed_insert, &[&id]).await;
        let code = failed
            .unwrap_err()
            .code()
            .map(|code| code.code().to_owned());
        assert_eq!(code.as_deref(), Some("25P02"));
        run(&borrower, "ROLLBACK").await;
    }
}
