//! Submissions to the stand-in platform: races, lost answers and outages.

#[path = "support/silent_after_change.rs"]
mod silent_after_change;
mod support;

use std::time::Duration;

use jujubehold::{ConfigStore, ExitStatus, StoreError, SubmitOutcome};
use jujubehold_core::prelude::*;
use jujubehold_settings::parse_service;
use jujubehold_standin::platform::{CallKind, Outage, Platform, PlatformSettings};
use support::jujubehold;

const SHARES: &str = include_str!("../resources/test/fixtures/shares.ini");

async fn start_platform() -> Platform {
    Platform::start(PlatformSettings::default())
        .await
        .expect("loopback has free ports")
}

fn store(platform: &Platform, timeout: Duration) -> ConfigStore {
    ConfigStore::new(vec![platform.address()], timeout)
}

/// Returns a store whose timeout only detects a hang.
fn store_with_long_timeout(platform: &Platform) -> ConfigStore {
    store(platform, Duration::from_mins(1))
}

fn shares(generation: Generation, read_age_ms: u64) -> ServiceConfig {
    let config = parse_service("shares.ini", SHARES).expect("the fixture is valid");
    ServiceConfig {
        generation,
        read_age: Duration::from_millis(read_age_ms),
        ..config
    }
}

#[actix_rt::test]
async fn the_second_of_two_operators_is_told_of_the_conflict() {
    let platform = start_platform().await;
    let store = store_with_long_timeout(&platform);
    let first = store.submit(&shares(0, 1000), 0, "first").await;
    assert_eq!(
        first.expect("nothing is in the way"),
        SubmitOutcome::Written(1)
    );
    let second = store.submit(&shares(0, 2000), 0, "second").await;
    let error = second.expect_err("generation 1 is in force");
    assert_eq!(error.status(), ExitStatus::Conflict);
    insta::assert_snapshot!(error);
    let kept = store.read(&"greenville-shares".into()).await;
    assert_eq!(
        kept.expect("it can be read").config.read_age,
        Duration::from_secs(1)
    );
}

#[actix_rt::test]
async fn of_many_racing_operators_one_wins_each_generation() {
    let platform = start_platform().await;
    let submissions = (0..8).map(|number| {
        let store = store_with_long_timeout(&platform);
        async move {
            let change = format!("change-{number}");
            store.submit(&shares(0, 100 + number), 0, &change).await
        }
    });
    let outcomes = futures_util::future::join_all(submissions).await;
    let written = outcomes.iter().filter(|outcome| outcome.is_ok()).count();
    assert_eq!(written, 1);
    for error in outcomes.into_iter().filter_map(Result::err) {
        assert_eq!(error.status(), ExitStatus::Conflict);
    }
}

#[actix_rt::test]
async fn a_lost_answer_is_told_apart_from_a_lost_write() {
    let platform = start_platform().await;
    let store = store_with_long_timeout(&platform);
    platform.lose_answers(1);
    let outcome = store.submit(&shares(0, 1000), 0, "first").await;
    assert_eq!(
        outcome.expect("the change took effect"),
        SubmitOutcome::Written(1)
    );
    assert!(platform.counts()[&CallKind::Txn] >= 2, "no answer was lost");
    let record = store.read(&"greenville-shares".into()).await;
    let record = record.expect("it can be read");
    assert_eq!(
        (record.config.generation, record.change_id.as_str()),
        (1, "first")
    );
}

#[actix_rt::test]
async fn a_file_whose_answer_was_lost_may_be_submitted_again() {
    let platform = start_platform().await;
    let store = store_with_long_timeout(&platform);
    let config = shares(0, 1000);
    store
        .submit(&config, 0, "first")
        .await
        .expect("nothing is in the way");
    let again = store.submit(&config, 0, "again").await;
    assert_eq!(again.expect("it is in force"), SubmitOutcome::Unchanged(1));
}

#[actix_rt::test]
async fn a_service_that_falls_silent_at_the_change_leaves_the_outcome_unknown() {
    let address = silent_after_change::start().await;
    let timeout = Duration::from_millis(300);
    let store = ConfigStore::new(vec![address], timeout);
    let outcome = store.submit(&shares(0, 1000), 0, "first").await;
    let error = outcome.expect_err("no answer came");
    assert_eq!(error.status(), ExitStatus::OutcomeUnknown);
}

#[actix_rt::test]
async fn an_outage_writes_nothing_and_says_so() {
    let platform = start_platform().await;
    platform.set_outage(Outage::Refuse);
    let outcome = store(&platform, Duration::from_millis(300))
        .submit(&shares(0, 1000), 0, "first")
        .await;
    let error = outcome.expect_err("the platform is unavailable");
    assert_eq!(error.status(), ExitStatus::Unavailable);
    platform.set_outage(Outage::None);
    let record = store_with_long_timeout(&platform)
        .read(&"greenville-shares".into())
        .await;
    assert_eq!(record.expect("it can be read").mod_revision, 0);
}

#[actix_rt::test]
async fn racing_drains_of_two_instances_both_stand() {
    let platform = start_platform().await;
    let store = store_with_long_timeout(&platform);
    store
        .submit(&shares(0, 1000), 0, "first")
        .await
        .expect("nothing is in the way");
    let service = ServiceId::from("greenville-shares");
    let drain = |instance: &'static str| {
        let store = store_with_long_timeout(&platform);
        let service = service.clone();
        async move {
            let edit = |config: &mut ServiceConfig| {
                let found = config.instances.get_mut(instance);
                found.expect("the fixture has it").state = InstanceState::Leaving;
                Ok::<(), StoreError>(())
            };
            store.edit(&service, instance, edit).await
        }
    };
    let (first, second) = tokio::join!(drain("a"), drain("b"));
    first.expect("the change of a is in force");
    second.expect("the change of b is in force");
    let record = store.read(&service).await.expect("it can be read");
    assert_eq!(record.config.generation, 3);
    let states = record
        .config
        .instances
        .values()
        .map(|instance| instance.state);
    let leaving = states
        .filter(|state| *state == InstanceState::Leaving)
        .count();
    assert_eq!(leaving, 2);
}

#[actix_rt::test]
async fn the_commands_work_end_to_end() {
    let platform = start_platform().await;
    let address = platform.address().to_string();
    let run = |arguments: &[&str]| {
        let arguments: Vec<&str> = arguments
            .iter()
            .copied()
            .chain(["--platform", &address])
            .collect();
        format!("$ {}\n{}", arguments[0], jujubehold(&arguments))
    };
    insta::assert_snapshot!(
        [
            run(&["submit", "shares.ini"]),
            run(&["submit", "shares.ini", "--expect", "0"]),
            run(&["show"]),
            run(&["drain", "greenville-shares", "b"]),
            run(&["drain", "greenville-shares", "b"]),
            run(&["drain", "greenville-shares", "z"]),
            run(&["undrain", "greenville-shares", "b"]),
            run(&["show", "greenville-shares"]),
            run(&["show", "salisbury-shares"]),
            run(&["submit", "shares.ini"]),
        ]
        .join("\n")
    );
}
