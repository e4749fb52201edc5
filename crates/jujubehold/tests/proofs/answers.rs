//! Each caller receives the complete answer to its own request.

use std::cell::Cell;
use std::time::Duration;

use jujubehold_faults::{Direction, LinkFaults};

use crate::harness::{Answer, Caller, Installation, Layout};

/// The number of rows in an answer.
const ROWS: usize = 3000;
/// The number of concurrent callers.
const CALLERS: usize = 8;
/// The number of requests of each caller.
const ROUNDS: usize = 6;
/// Longer than the time after which an unresponsive host is considered dead.
const FREEZE_TIME: Duration = Duration::from_secs(4);

/// Runs a query whose rows each name the caller, and returns whether it was answered.
async fn ask(caller: &mut Caller, number: usize, round: usize) -> bool {
    let sql = format!(
        "WITH RECURSIVE n(i) AS (SELECT 1 UNION ALL SELECT i + 1 FROM n WHERE i < {ROWS}) \
         SELECT 'caller {number} round {round} row ' || i FROM n"
    );
    let Answer::Ran(rows) = caller.run(&sql).await else {
        return false;
    };
    assert_eq!(rows.len(), ROWS, "the answer is incomplete");
    for (index, row) in rows.iter().enumerate() {
        let expected = format!("caller {number} round {round} row {}", index + 1);
        assert_eq!(row[0], expected, "another caller's row");
    }
    true
}

async fn ask_all(installation: &Installation) -> usize {
    let tasks = (0..CALLERS).map(|number| {
        let mut caller = installation.caller(number % installation.hosts.len());
        async move {
            let mut answered = 0;
            for round in 0..ROUNDS {
                answered += usize::from(ask(&mut caller, number, round).await);
            }
            answered
        }
    });
    futures_util::future::join_all(tasks)
        .await
        .into_iter()
        .sum()
}

#[actix_rt::test]
async fn large_answers_of_many_callers_stay_whole_and_apart() {
    let installation = Installation::start(Layout::default()).await;
    assert_eq!(ask_all(&installation).await, CALLERS * ROUNDS);
}

#[actix_rt::test]
async fn answers_that_arrive_late_stay_whole_and_apart() {
    let installation = Installation::start(Layout::default()).await;
    let late = LinkFaults {
        delay: Duration::from_millis(5),
        jitter: Duration::from_millis(20),
        ..LinkFaults::default()
    };
    for route in ["a", "b", "c"] {
        installation
            .faults
            .set_both(route, &late)
            .expect("the route exists");
    }
    assert!(ask_all(&installation).await > 0);
}

#[actix_rt::test]
async fn an_answer_that_is_cut_in_its_middle_is_never_taken_for_whole() {
    let installation = Installation::start(Layout::default()).await;
    let cut = async {
        for step in 1..=10 {
            let faults = LinkFaults {
                reset_after_bytes: Some(step * 9_000),
                ..LinkFaults::default()
            };
            for route in ["a", "b", "c"] {
                installation
                    .faults
                    .set(route, Direction::Down, faults.clone())
                    .expect("the route exists");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
            for route in ["a", "b", "c"] {
                installation.faults.heal(route).expect("the route exists");
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    futures_util::future::join(ask_all(&installation), cut).await;
    // After the faults, callers get answers again.
    crate::harness::wait_until("a caller is answered", async || {
        let mut caller = installation.caller(0);
        ask(&mut caller, 99, 0).await
    })
    .await;
}

#[actix_rt::test]
async fn answers_that_arrive_late_between_hosts_stay_whole_and_apart() {
    let installation = Installation::start(Layout::default()).await;
    let late = LinkFaults {
        delay: Duration::from_millis(5),
        jitter: Duration::from_millis(20),
        ..LinkFaults::default()
    };
    installation.set_between_hosts(&late);
    assert!(ask_all(&installation).await > 0);
}

#[actix_rt::test]
async fn a_forwarded_answer_of_an_owner_that_was_replaced_reaches_nobody_else() {
    // The host in the west has no connections of its own to the primary.
    let layout = Layout {
        host_domains: vec!["east", "east", "west"],
        ..Layout::default()
    };
    let installation = Installation::start(layout).await;
    let is_over = Cell::new(false);
    let callers = (0..CALLERS).map(|number| {
        let mut caller = installation.caller(2);
        let is_over = &is_over;
        async move {
            let mut answered = 0;
            for round in 0.. {
                if is_over.get() {
                    return answered;
                }
                caller.run("BEGIN").await;
                answered += usize::from(ask(&mut caller, number, round).await);
                if !caller.run("COMMIT").await.is_ran() {
                    caller.disconnect();
                }
            }
            answered
        }
    });
    let freeze_owners = async {
        for number in [0, 1] {
            installation.hosts[number].freeze();
            tokio::time::sleep(FREEZE_TIME).await;
            installation.hosts[number].resume();
            tokio::time::sleep(FREEZE_TIME / 4).await;
        }
        is_over.set(true);
    };
    let (answered, ()) =
        futures_util::future::join(futures_util::future::join_all(callers), freeze_owners).await;
    assert!(answered.iter().sum::<usize>() > 0);
    assert!(ask(&mut installation.caller(2), CALLERS, 0).await);
}
