//! What two hosts lack of each other, and what came of a submission.

use std::collections::BTreeMap;

use jujubehold_core::config_store::{
    ConfigRecord, ConfigStore, SubmitOutcome, mark_submission, submit_outcome,
};
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
fn an_exchange_names_what_each_side_lacks() {
    let mut store = ConfigStore::default();
    for (service, generation) in [("casks", 2), ("shares", 5)] {
        store.offer(record(service, generation));
    }
    let theirs = BTreeMap::from([
        ("shares".into(), 7),
        ("orders".into(), 1),
        ("casks".into(), 2),
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
        "the names of earlier ones are bounded"
    );
}
