//! Tests of the comparison of two hosts' configurations and of the outcome of a submission.

use std::collections::BTreeMap;

use jujubehold_core::config_store::{
    ConfigRecord, ConfigStore, PlatformAction, PlatformValue, SubmitOutcome, mark_submission,
    submit_outcome,
};
use jujubehold_core::config_version::ConfigVersion;
use jujubehold_core::prelude::*;

fn record(service: &str, generation: Generation) -> ConfigRecord {
    ConfigRecord {
        config: ServiceConfig {
            service: service.into(),
            generation,
            ..ServiceConfig::default()
        },
        text: format!("generation={generation}").into(),
    }
}

#[test]
fn a_comparison_lists_what_each_side_lacks() {
    let mut store = ConfigStore::default();
    for (service, generation) in [("casks", 2), ("shares", 5)] {
        store.merge(record(service, generation));
    }
    let version = |generation| ConfigVersion {
        generation,
        ..ConfigVersion::default()
    };
    let theirs = BTreeMap::from([
        ("shares".into(), version(7)),
        ("orders".into(), version(1)),
        ("casks".into(), version(2)),
    ]);
    let difference = store.compare(&theirs);
    assert_eq!(difference.wanted, ["orders", "shares"]);
    assert!(difference.offered.is_empty());
    let difference = store.compare(&BTreeMap::new());
    assert_eq!(difference.offered, ["casks", "shares"]);
}

#[test]
fn a_lost_answer_is_told_from_a_lost_write_by_reading_back() {
    let ours = mark_submission(11, "read_age_ms=5\n", "");
    assert_eq!(
        submit_outcome(11, 40, &ours, 3, 41),
        SubmitOutcome::Accepted
    );
    assert_eq!(
        submit_outcome(12, 40, &ours, 3, 40),
        SubmitOutcome::NotWritten
    );
    let conflict = SubmitOutcome::Conflict {
        generation: 3,
        mod_revision: 41,
    };
    assert_eq!(submit_outcome(12, 40, &ours, 3, 41), conflict);
}

#[test]
fn a_submission_is_found_after_the_next_one_was_built_on_it() {
    let ours = mark_submission(11, "read_age_ms=5\n", "");
    let next = mark_submission(12, "read_age_ms=6\n", &ours);
    assert_eq!(
        submit_outcome(11, 40, &next, 4, 42),
        SubmitOutcome::Accepted
    );
    assert!(next.ends_with("read_age_ms=6\n"));
    let mut value = next;
    for nonce in 13..40 {
        value = mark_submission(nonce, "read_age_ms=6\n", &value);
    }
    assert_eq!(
        value.lines().count(),
        9,
        "the value holds eight nonce lines and the text"
    );
}

fn with_text(text: &str) -> ConfigRecord {
    ConfigRecord {
        text: text.into(),
        ..record("shares", 3)
    }
}

#[test]
fn of_two_texts_of_one_generation_the_same_one_wins_in_any_order() {
    for (one, other) in [("one", "other"), ("five", "six"), ("a", "b")] {
        let mut stores = [ConfigStore::default(), ConfigStore::default()];
        stores[0].merge(with_text(one));
        stores[1].merge(with_text(other));
        let versions = stores[1].versions();
        let difference = stores[0].compare(&versions);
        let differing = difference.wanted.len() + difference.offered.len();
        assert_eq!(
            differing, 1,
            "{one} and {other}: exactly one of them must be sent"
        );
        stores[0].merge(with_text(other));
        stores[1].merge(with_text(one));
        assert_eq!(stores[0], stores[1], "{one} and {other}");
        let difference = stores[0].compare(&stores[1].versions());
        assert!(difference.wanted.is_empty() && difference.offered.is_empty());
    }
}

#[test]
fn the_platform_and_the_host_converge_on_the_text_that_wins() {
    for (ours, theirs) in [("one", "other"), ("other", "one")] {
        let mut store = ConfigStore::default();
        store.merge(with_text(ours));
        let value = PlatformValue {
            record: Some(with_text(theirs)),
            mod_revision: 7,
        };
        let action = store.on_platform_value(&"shares".into(), value);
        let current_text = store
            .record("shares")
            .expect("the store has a record")
            .text
            .clone();
        let expected = if current_text == theirs {
            PlatformAction::Relay
        } else {
            PlatformAction::Restore {
                text: current_text,
                mod_revision: 7,
            }
        };
        assert_eq!(action, expected);
    }
}

#[test]
fn a_version_without_a_digest_is_compared_by_generation() {
    let mut store = ConfigStore::default();
    store.merge(with_text("one"));
    let theirs = ConfigVersion {
        generation: 3,
        digest: 0,
    };
    let difference = store.compare(&BTreeMap::from([("shares".into(), theirs)]));
    assert!(difference.wanted.is_empty() && difference.offered.is_empty());
}
