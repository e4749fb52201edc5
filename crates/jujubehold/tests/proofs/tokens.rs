//! A session token is accepted only for its service and only if the installation's hosts signed it.

use jujubehold_core::prelude::ServiceConfig;

use crate::harness::{Answer, Caller, Installation, Layout, wait_until};

const INSERT: &str = "INSERT INTO orders (id, caller) VALUES (1, 1)";
const OTHER_KEY: &str = "another-key-of-32-bytes-in-a-test";

async fn present(caller: &mut Caller, token: &str) -> Answer {
    caller
        .run(&format!("SET jujubehold.session = '{token}'"))
        .await
}

fn is_refused_token(answer: &Answer) -> bool {
    matches!(answer, Answer::NotRun(code, _) if code == "22023")
}

#[actix_rt::test]
async fn a_token_of_another_service_is_refused() {
    let installation = Installation::start(Layout::default()).await;
    let config = ServiceConfig {
        service: "other".into(),
        generation: 1,
        ..installation.config.clone()
    };
    installation.put_configuration(&config).await;
    let mut caller = installation.caller(0);
    caller.must_write(INSERT).await;
    let token = caller.token.clone().expect("a write gives a token");
    let mut other = installation.caller(1).of_service("other");
    wait_until("the other service is served", async || {
        other.run("SELECT 1").await.is_ran()
    })
    .await;
    let answer = present(&mut other, &token).await;
    assert!(is_refused_token(&answer), "{answer:?}");
    other.must_run("SELECT 1").await;
}

#[actix_rt::test]
async fn a_token_that_was_signed_with_a_key_of_before_is_refused() {
    let mut installation = Installation::start(Layout::default()).await;
    let mut caller = installation.caller(0);
    caller.must_write(INSERT).await;
    let token = caller.token.clone().expect("a write gives a token");
    for number in 0..installation.hosts.len() {
        installation.change_token_key(number, OTHER_KEY).await;
        let mut second = installation.caller(number);
        let answer = present(&mut second, &token).await;
        assert!(is_refused_token(&answer), "{answer:?}");
    }
    // Each host accepts tokens signed with the new key.
    let mut caller = installation.caller(0);
    caller
        .must_write("INSERT INTO orders (id, caller) VALUES (2, 1)")
        .await;
    let token = caller.token.clone().expect("a write gives a token");
    let answer = present(&mut installation.caller(1), &token).await;
    assert!(answer.is_ran(), "{answer:?}");
}
