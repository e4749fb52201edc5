//! When a caller is told "not run", the request did not run.

use std::time::Duration;

use jujubehold_faults::{Direction, LinkFaults};

use crate::harness::{Installation, Layout, Report};

/// Runs a workload while the connections to the primary are reset after an increasing number of
/// bytes, so that some break before the statement, some after it, and some within the answer.
async fn cut_in(direction: Direction) -> (Installation, Report) {
    let (installation, workload) = Installation::start_under_load(Layout::default()).await;
    for step in 0..12 {
        let route = installation.primary();
        let faults = LinkFaults {
            reset_after_bytes: Some(step * 37),
            ..LinkFaults::default()
        };
        installation
            .faults
            .set(route, direction, faults)
            .expect("the route exists");
        tokio::time::sleep(Duration::from_millis(30)).await;
        installation.faults.heal(route).expect("the route exists");
        workload.wait_for(5).await;
    }
    let report = workload.stop().await;
    (installation, report)
}

#[actix_rt::test]
async fn requests_that_are_cut_on_their_way_get_true_verdicts() {
    let (installation, report) = cut_in(Direction::Up).await;
    report.check(&installation.row_counts().await);
    assert!(
        !report.not_run.is_empty() || !report.unknown.is_empty(),
        "nothing was cut"
    );
}

#[actix_rt::test]
async fn requests_whose_answers_are_cut_get_true_verdicts() {
    let (installation, report) = cut_in(Direction::Down).await;
    report.check(&installation.row_counts().await);
    assert!(!report.unknown.is_empty(), "no answer was cut");
}

#[actix_rt::test]
async fn a_lost_answer_of_the_platform_makes_no_verdict_false() {
    let (installation, workload) = Installation::start_under_load(Layout::default()).await;
    installation.platform.lose_answers(4);
    installation.databases["a"].kill();
    installation.wait_for_failover("a").await;
    installation.check(workload).await;
}

#[actix_rt::test]
async fn without_any_upstream_requests_are_refused_with_a_time_to_come_back() {
    let installation = Installation::start(Layout::default()).await;
    for database in installation.databases.values() {
        database.kill();
    }
    let mut caller = installation.caller(0);
    crate::harness::wait_until("a refusal", async || {
        let insert = "INSERT INTO orders (id, caller) VALUES (1, 1)";
        match caller.run(insert).await {
            crate::harness::Answer::NotRun(code, detail) => {
                code != "connect"
                    && detail.contains("reason=")
                    && detail.contains("retry_after_ms=")
            }
            _ => false,
        }
    })
    .await;
}
