//! Reads avoid an instance that does not answer, and try it again later.

mod support;

use std::collections::BTreeSet;

use jujubehold_core::prelude::*;
use jujubehold_core::read_candidates::{ReadContext, read_candidates};
use jujubehold_core::read_policy::ReadNeed;
use jujubehold_core::session_floor::FloorKnowledge;
use jujubehold_core::silence::SilentInstances;

use support::{config, ms, status};

/// Returns whether a read at `now_ms` avoids `b`.
fn is_avoided(silent: &mut SilentInstances, now_ms: u64, view: &GroupView) -> bool {
    silent.avoided(ms(now_ms), ms(300), view).contains("b")
}

#[test]
fn after_a_pause_one_read_at_a_time_tries_a_silent_instance() {
    let view = GroupView::default();
    let mut silent = SilentInstances::default();
    assert!(!is_avoided(&mut silent, 0, &view));
    silent.note_silent(ms(100), &"b".into());
    assert!(is_avoided(&mut silent, 1099, &view));
    assert!(!is_avoided(&mut silent, 1100, &view));
    assert!(is_avoided(&mut silent, 1101, &view));
    assert!(!is_avoided(&mut silent, 1400, &view));
}

#[test]
fn the_pauses_grow_and_an_answer_ends_them() {
    let view = GroupView::default();
    let mut silent = SilentInstances::default();
    silent.note_silent(ms(0), &"b".into());
    // Another read that was in flight at the same time.
    silent.note_silent(ms(10), &"b".into());
    assert!(!is_avoided(&mut silent, 1000, &view));
    silent.note_silent(ms(1300), &"b".into());
    assert!(is_avoided(&mut silent, 3299, &view));
    assert!(!is_avoided(&mut silent, 3300, &view));
    silent.note_answer(&"b".into());
    assert!(!is_avoided(&mut silent, 3301, &view));
    silent.note_silent(ms(4000), &"b".into());
    assert!(!is_avoided(&mut silent, 5000, &view));
}

#[test]
fn a_status_after_the_silence_ends_it() {
    let mut view = GroupView::default();
    let mut silent = SilentInstances::default();
    silent.note_silent(ms(100), &"b".into());
    view.observe(ms(100), status("b", "replica", 1, 10, "1:0"));
    assert!(is_avoided(&mut silent, 150, &view));
    view.observe(ms(200), status("b", "replica", 1, 10, "1:0"));
    assert!(!is_avoided(&mut silent, 250, &view));
    assert!(!silent.is_silent(&"b".into()));
}

#[test]
fn a_silent_replica_ranks_after_the_primary() {
    let mut view = GroupView::default();
    view.observe(ms(10), status("a", "primary", 1, 10, "1:0"));
    for name in ["b", "c"] {
        view.observe(ms(10), status(name, "replica", 1, 10, "1:0"));
    }
    let config = config();
    let need = ReadNeed::new(&config, FloorKnowledge::NoWrites, ms(10));
    let context = ReadContext {
        domain: "gulf".into(),
        region: "south".into(),
        now: ms(10),
        avoided: BTreeSet::from(["b".into()]),
        max_catch_up_wait: ms(0),
        spread_seed: 1,
    };
    let candidates = read_candidates(&config, &view, &need, &context);
    assert_eq!(candidates, ["c", "a", "b"]);
}
