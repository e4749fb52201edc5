//! Until when a host may rely on its table of leads, and when whoever replaces a primary may go on.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubehold_core::lead_proof::{LeadProof, LeadProofSettings};
use jujubehold_core::prelude::*;
use jujubehold_core::stop_wait::StopWait;

const SETTINGS: LeadProofSettings = LeadProofSettings {
    window: Duration::from_secs(2),
    drift: Duration::from_millis(50),
    promise_limit: Duration::from_secs(8),
};

fn ms(value: u64) -> Monotonic {
    Duration::from_millis(value)
}

fn hosts(names: &[&str]) -> BTreeSet<HostId> {
    names.iter().map(|name| HostId::from(*name)).collect()
}

fn listed_proof() -> LeadProof {
    let mut proof = LeadProof::new(SETTINGS);
    proof.note_listed_until(ms(60_000));
    proof
}

#[test]
fn a_host_that_has_read_nothing_relies_on_nothing() {
    let proof = listed_proof();
    assert!(!proof.is_valid(&hosts(&["b"]), ms(0)));
}

#[test]
fn a_read_holds_for_one_window_from_when_it_was_asked_for() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    assert!(proof.is_valid(&hosts(&["b"]), ms(2_999)));
    assert!(!proof.is_valid(&hosts(&["b"]), ms(3_000)));
}

#[test]
fn a_read_holds_no_longer_than_the_hosts_place_in_the_list() {
    let mut proof = LeadProof::new(SETTINGS);
    proof.note_listed_until(ms(1_500));
    proof.note_read(ms(1_000));
    assert!(proof.is_valid(&hosts(&["b"]), ms(1_499)));
    assert!(!proof.is_valid(&hosts(&["b"]), ms(1_500)));
}

#[test]
fn promises_of_all_others_stand_in_for_the_store() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    proof.note_promise(&"b".into(), ms(2_500));
    assert!(!proof.is_valid(&hosts(&["b", "c"]), ms(3_500)));
    proof.note_promise(&"c".into(), ms(2_600));
    assert!(proof.is_valid(&hosts(&["b", "c"]), ms(4_499)));
    assert!(!proof.is_valid(&hosts(&["b", "c"]), ms(4_500)));
}

#[test]
fn a_promise_taken_back_counts_no_more() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    proof.note_promise(&"b".into(), ms(2_500));
    proof.forget_promise("b");
    assert!(!proof.is_valid(&hosts(&["b"]), ms(3_500)));
}

#[test]
fn promises_end_with_the_limit_after_the_last_read() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    proof.note_promise(&"b".into(), ms(8_500));
    assert!(proof.is_valid(&hosts(&["b"]), ms(8_999)));
    assert!(!proof.is_valid(&hosts(&["b"]), ms(9_000)));
}

#[test]
fn a_host_without_others_needs_the_store() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    assert!(!proof.is_valid(&hosts(&[]), ms(3_500)));
}

#[test]
fn only_a_host_that_followed_the_list_for_a_window_knows_all_hosts() {
    let mut proof = listed_proof();
    for asked_at_ms in [1_000, 1_800, 2_600] {
        proof.note_read(ms(asked_at_ms));
    }
    assert!(!proof.knows_all_hosts(ms(3_000)));
    proof.note_read(ms(3_100));
    assert!(proof.knows_all_hosts(ms(3_200)));
    // A gap begins it anew.
    proof.note_read(ms(5_000));
    assert!(!proof.knows_all_hosts(ms(5_100)));
}

#[test]
fn a_change_goes_on_when_every_host_has_stopped() {
    let mut wait = StopWait::new(SETTINGS, ms(1_000), hosts(&["b", "c"]), true, true);
    wait.note_stopped("b");
    assert!(!wait.is_over(ms(1_100)));
    wait.note_stopped("c");
    assert!(wait.is_over(ms(1_100)));
}

#[test]
fn a_silent_host_is_waited_for_until_its_window_lapses() {
    let wait = StopWait::new(SETTINGS, ms(1_000), hosts(&["b"]), true, true);
    assert!(!wait.is_over(ms(3_049)));
    assert!(wait.is_over(ms(3_050)));
}

// The day that showed it: the store forgot every host during an outage, and a host that came back
// first replaced a primary that five hosts still used by their last answer of the store.
#[test]
fn hosts_that_may_be_unknown_are_waited_out() {
    let wait = StopWait::new(SETTINGS, ms(1_000), hosts(&[]), false, true);
    assert!(!wait.is_over(ms(3_049)));
    assert!(wait.is_over(ms(3_050)));
}

#[test]
fn a_host_that_left_the_list_may_use_its_window() {
    let mut wait = StopWait::new(SETTINGS, ms(1_000), hosts(&["b"]), true, true);
    wait.note_gone("b");
    assert!(!wait.is_over(ms(2_000)));
    assert!(wait.is_over(ms(3_050)));
}

#[test]
fn a_host_that_was_promised_and_not_asked_is_waited_out() {
    let mut wait = StopWait::new(SETTINGS, ms(1_000), hosts(&["b"]), true, true);
    wait.note_stopped("b");
    wait.note_promised("b", true);
    assert!(wait.is_over(ms(1_100)));
    wait.note_promised("d", false);
    assert!(!wait.is_over(ms(1_100)));
}

#[test]
fn a_host_that_joined_lately_hears_from_every_other_one() {
    let mut wait = StopWait::new(SETTINGS, ms(1_000), hosts(&["b"]), true, false);
    assert!(!wait.is_over(ms(60_000)));
    wait.note_stopped("b");
    assert!(wait.is_over(ms(60_000)));
}
