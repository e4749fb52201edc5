//! An interrupted COMMIT gets a correct verdict.

use jujubehold_faults::{Direction, LinkFaults};

use crate::harness::{Answer, Installation, Layout, wait_until};

/// Where the link to the primary breaks.
#[derive(Debug, Clone, Copy)]
enum Cut {
    BeforeSend,
    /// After this number of bytes of the request.
    WithinRequest(u64),
    /// After this number of bytes of the answer.
    WithinAnswer(u64),
}

impl Cut {
    async fn apply(self, installation: &Installation) {
        let (direction, bytes) = match self {
            Self::BeforeSend => {
                installation.faults.reset("a-0").expect("the route exists");
                let primary = &installation.databases["a"];
                wait_until("the primary notices the lost connection", async || {
                    primary.status().open_transactions == 0
                })
                .await;
                return;
            }
            Self::WithinRequest(bytes) => (Direction::Up, bytes),
            Self::WithinAnswer(bytes) => (Direction::Down, bytes),
        };
        let link = LinkFaults {
            reset_after_bytes: Some(bytes),
            ..LinkFaults::default()
        };
        installation
            .faults
            .set("a-0", direction, link)
            .expect("the route exists");
    }
}

/// Commits a row while the link is cut, and returns the answer and whether the row is stored.
async fn commit_cut(installation: &Installation, id: i64, cut: Cut) -> (Answer, bool) {
    let mut caller = installation.caller(0);
    caller.must_begin().await;
    let insert = format!("INSERT INTO orders (id, caller) VALUES ({id}, 1)");
    caller.must_run(&insert).await;
    cut.apply(installation).await;
    let answer = caller.run("COMMIT").await;
    installation.faults.heal("a-0").expect("the route exists");
    let is_there = installation.row_counts().await.contains_key(&id);
    match &answer {
        Answer::Ran(_) => assert!(is_there, "{cut:?}: acknowledged but lost"),
        Answer::NotRun(..) => assert!(
            !is_there,
            "{cut:?}: reported as not run, but ran: {answer:?}"
        ),
        Answer::Unknown(_) => {}
        Answer::Failed(_) => panic!("{cut:?}: no verdict: {answer:?}"),
    }
    (answer, is_there)
}

#[actix_rt::test]
async fn a_commit_whose_connection_broke_before_it_was_sent_is_not_acknowledged() {
    let installation = Installation::start(Layout::default()).await;
    for id in 0..5 {
        let (answer, is_there) = commit_cut(&installation, id, Cut::BeforeSend).await;
        assert!(!answer.is_ran() && !is_there, "{answer:?}");
    }
}

#[actix_rt::test]
async fn a_commit_that_is_cut_on_its_way_gets_a_true_verdict() {
    let installation = Installation::start(Layout::default()).await;
    for id in 0..12 {
        let bytes = u64::try_from(id).unwrap_or(0) * 2;
        commit_cut(&installation, id, Cut::WithinRequest(bytes)).await;
    }
}

#[actix_rt::test]
async fn a_commit_whose_answer_is_lost_is_told_as_unknown() {
    let installation = Installation::start(Layout::default()).await;
    for id in 0..5 {
        let (answer, is_there) = commit_cut(&installation, id, Cut::WithinAnswer(0)).await;
        assert!(matches!(answer, Answer::Unknown(_)), "{answer:?}");
        assert!(is_there, "the commit itself was not interrupted");
    }
}

#[actix_rt::test]
async fn a_commit_that_is_cut_within_its_answer_gets_a_true_verdict() {
    let installation = Installation::start(Layout::default()).await;
    for id in 0..20 {
        let bytes = u64::try_from(id).unwrap_or(0) * 4;
        commit_cut(&installation, id, Cut::WithinAnswer(bytes)).await;
    }
}
