//! Tests replication, fencing, promotion and following, as specified in
//! docs/notes/group-interface.md.

use std::time::Duration;

use crate::support::{connect, primary, replica, sqlstate, status, text, wait_until};
use jujubehold_core::prelude::Role;

const TABLE: &str = "CREATE TABLE shares (id BIGINT PRIMARY KEY, holder TEXT)";

#[actix_rt::test]
async fn a_commit_reaches_the_replicas_at_its_position() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    let client = connect(first.address()).await;
    text(&client, TABLE).await;
    text(&client, "INSERT INTO shares VALUES (1, 'ann')").await;
    let written = status(&client, "group_status()").await;
    assert_eq!(
        (written.term, written.last_commit, written.received),
        (1, 2, 2)
    );
    wait_until("the replica applies", || second.status().applied == 2).await;
    let reader = connect(second.address()).await;
    assert_eq!(
        text(&reader, "SELECT holder FROM shares WHERE id = 1").await,
        "ann"
    );
    assert_eq!(sqlstate(&reader, "DELETE FROM shares").await, "25006");
}

#[actix_rt::test]
async fn lag_keeps_a_received_commit_from_readers() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    second.set_apply_lag(Duration::from_hours(1));
    let client = connect(first.address()).await;
    text(&client, TABLE).await;
    let reader = connect(second.address()).await;
    let confirmed = status(&reader, "group_wait(1, 1, 10000)").await;
    assert_eq!((confirmed.received, confirmed.applied), (1, 0));
    second.set_apply_lag(Duration::ZERO);
    wait_until("the replica applies", || second.status().applied == 1).await;
}

#[actix_rt::test]
async fn a_fenced_primary_commits_nothing() {
    let first = primary("a").await;
    let client = connect(first.address()).await;
    let other = connect(first.address()).await;
    text(&client, TABLE).await;
    text(&client, "BEGIN").await;
    text(&client, "INSERT INTO shares VALUES (1, 'ann')").await;
    let fenced = status(&other, "group_fence(2, 77)").await;
    assert_eq!((fenced.fence_term, fenced.fence_nonce), (2, 77));
    assert_eq!(sqlstate(&client, "COMMIT").await, "25006");
    assert_eq!(
        sqlstate(&client, "INSERT INTO shares VALUES (2, 'bob')").await,
        "25006"
    );
    assert_eq!(text(&client, "SELECT count(*) FROM shares").await, "0");
    // A fence with another nonce or a lower term has no effect.
    assert_eq!(status(&other, "group_fence(2, 78)").await.fence_nonce, 77);
    assert_eq!(status(&other, "group_fence(1, 79)").await.fence_nonce, 77);
}

#[actix_rt::test]
async fn a_fenced_replica_receives_nothing_of_the_old_term() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    let client = connect(first.address()).await;
    let reader = connect(second.address()).await;
    text(&client, TABLE).await;
    status(&reader, "group_wait(1, 1, 10000)").await;
    status(&reader, "group_fence(2, 5)").await;
    text(&client, "INSERT INTO shares VALUES (1, 'ann')").await;
    // A wait in the old term returns immediately and reports the fence.
    let answer = status(&reader, "group_wait(1, 2, 600000)").await;
    assert_eq!((answer.received, answer.fence_term), (1, 2));
}

#[actix_rt::test]
async fn a_promotion_needs_a_matching_fence_and_is_idempotent() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    let client = connect(first.address()).await;
    let other = connect(second.address()).await;
    text(&client, TABLE).await;
    status(&other, "group_wait(1, 1, 10000)").await;
    status(&other, "group_fence(2, 5)").await;
    assert_eq!(
        status(&other, "group_promote(2, 6)").await.role,
        Role::Replica
    );
    for _ in 0..2 {
        let promoted = status(&other, "group_promote(2, 5)").await;
        assert_eq!((promoted.role, promoted.term), (Role::Primary, 2));
        assert_eq!(promoted.history.to_string(), "1:0,2:1");
    }
    text(&other, "INSERT INTO shares VALUES (1, 'ann')").await;
    assert_eq!(status(&other, "group_status()").await.last_commit, 2);
}

#[actix_rt::test]
async fn an_old_primary_that_follows_truncates_its_diverged_log() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    let old = connect(first.address()).await;
    let new = connect(second.address()).await;
    text(&old, TABLE).await;
    status(&new, "group_wait(1, 1, 10000)").await;
    status(&new, "group_fence(2, 5)").await;
    text(&old, "INSERT INTO shares VALUES (1, 'lost')").await;
    status(&new, "group_promote(2, 5)").await;
    text(&new, "INSERT INTO shares VALUES (2, 'kept')").await;
    let open = connect(first.address()).await;
    text(&open, "BEGIN; INSERT INTO shares VALUES (3, 'open')").await;

    let address = second.address();
    let followed = status(&old, &format!("group_follow(2, '{address}')")).await;
    assert_eq!((followed.role, followed.term), (Role::Replica, 2));
    wait_until("the old primary has the new history", || {
        let status = first.status();
        status.applied == 2 && status.history.to_string() == "1:0,2:1"
    })
    .await;
    assert_eq!(
        text(&old, "SELECT group_concat(holder) FROM shares").await,
        "kept"
    );
    assert_eq!(sqlstate(&open, "COMMIT").await, "25006");
    assert_eq!(
        text(&open, "SELECT group_concat(holder) FROM shares").await,
        "kept"
    );
}

#[actix_rt::test]
async fn a_fenced_replica_catches_up_from_a_fenced_primary() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    let old = connect(first.address()).await;
    let new = connect(second.address()).await;
    text(&old, TABLE).await;
    status(&new, "group_wait(1, 1, 10000)").await;
    status(&new, "group_fence(2, 5)").await;
    text(&old, "INSERT INTO shares VALUES (1, 'ann')").await;
    status(&old, "group_fence(2, 5)").await;
    let address = first.address();
    assert_eq!(
        status(&new, &format!("group_catch_up('{address}', 2)"))
            .await
            .received,
        2
    );
    status(&new, "group_promote(2, 5)").await;
    assert_eq!(text(&new, "SELECT holder FROM shares").await, "ann");
}

#[actix_rt::test]
async fn a_revived_replica_catches_up_automatically() {
    let first = primary("a").await;
    let second = replica("b", &first).await;
    let client = connect(first.address()).await;
    second.kill();
    text(&client, TABLE).await;
    first.kill();
    first.revive();
    second.revive();
    wait_until("the replica applies", || second.status().applied == 1).await;
}
