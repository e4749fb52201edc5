//! Tests how long a host may rely on its lead table, and when a replacement of a primary may
//! proceed.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubehold_core::lead_proof::{LeadProof, LeadProofSettings};
use jujubehold_core::lead_table::Lead;
use jujubehold_core::prelude::*;
use jujubehold_core::replica_evidence::{ReplicaEvidence, confirms_lead, is_unmarked_replica};
use jujubehold_core::stop_wait::StopWait;

const SETTINGS: LeadProofSettings = LeadProofSettings {
    window: Duration::from_secs(2),
    drift: Duration::from_millis(50),
    evidence_limit: Duration::from_secs(8),
};

fn ms(value: u64) -> Monotonic {
    Duration::from_millis(value)
}

fn hosts(names: &[&str]) -> BTreeSet<HostId> {
    names.iter().map(|name| HostId::from(*name)).collect()
}

fn replicas(names: &[&str]) -> BTreeSet<InstanceId> {
    names.iter().map(|name| InstanceId::from(*name)).collect()
}

fn listed_proof() -> LeadProof {
    let mut proof = LeadProof::new(SETTINGS, false);
    proof.note_listed_until(ms(60_000));
    proof
}

fn is_valid(proof: &LeadProof, evidence: &ReplicaEvidence, now: Monotonic) -> bool {
    let until = proof.valid_until(evidence, &replicas(&["r", "s"]));
    until.is_some_and(|until| now < until)
}

fn evidence(r_ms: u64, s_ms: u64) -> ReplicaEvidence {
    let mut evidence = ReplicaEvidence::default();
    evidence.note(&"r".into(), ms(r_ms), true);
    evidence.note(&"s".into(), ms(s_ms), true);
    evidence
}

#[test]
fn a_host_without_a_read_has_no_proof() {
    assert!(!is_valid(&listed_proof(), &evidence(10, 10), ms(20)));
}

#[test]
fn a_read_is_valid_for_one_window_from_its_request() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    let none = ReplicaEvidence::default();
    assert!(is_valid(&proof, &none, ms(2_999)));
    assert!(!is_valid(&proof, &none, ms(3_000)));
}

#[test]
fn a_read_is_valid_no_longer_than_the_hosts_list_entry() {
    let mut proof = LeadProof::new(SETTINGS, false);
    proof.note_listed_until(ms(1_500));
    proof.note_read(ms(1_000));
    let none = ReplicaEvidence::default();
    assert!(is_valid(&proof, &none, ms(1_499)));
    assert!(!is_valid(&proof, &none, ms(1_500)));
}

#[test]
fn evidence_of_all_replicas_extends_the_proof() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    let mut one = ReplicaEvidence::default();
    one.note(&"r".into(), ms(2_500), true);
    assert!(!is_valid(&proof, &one, ms(3_500)));
    let both = evidence(2_500, 2_600);
    assert!(is_valid(&proof, &both, ms(4_499)));
    assert!(!is_valid(&proof, &both, ms(4_500)));
}

#[test]
fn a_marked_replica_ends_the_evidence() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    let mut both = evidence(2_500, 2_600);
    both.note(
        &"s".into(),
        ms(3_100),
        is_unmarked_replica(Role::Replica, 3, 4),
    );
    assert!(!is_valid(&proof, &both, ms(3_200)));
}

#[test]
fn an_instance_that_is_primary_ends_the_evidence() {
    assert!(!is_unmarked_replica(Role::Primary, 4, 0));
    assert!(is_unmarked_replica(Role::Replica, 4, 4));
    assert!(is_unmarked_replica(Role::Replica, 4, 0));
}

// The replica that took over is not known to this host. Guards against taking the others' word for a
// primary that was replaced.
#[test]
fn a_lead_needs_the_primarys_own_word_and_no_later_term() {
    let mut lead = Lead {
        primary: "a".into(),
        term: 3,
        change: None,
    };
    let confirms = |lead: &Lead, instance: &str, role, term| {
        confirms_lead(lead, &instance.into(), role, term, 0)
    };
    assert!(confirms(&lead, "a", Role::Primary, 3));
    assert!(!confirms(&lead, "a", Role::Replica, 3));
    assert!(!confirms(&lead, "a", Role::Primary, 4));
    assert!(confirms(&lead, "b", Role::Replica, 2));
    assert!(confirms(&lead, "b", Role::Replica, 3));
    assert!(!confirms(&lead, "b", Role::Replica, 4));
    assert!(!confirms(&lead, "b", Role::Primary, 3));
    lead.term = 0;
    assert!(confirms(&lead, "a", Role::Primary, 3));
    assert!(confirms(&lead, "b", Role::Replica, 4));
}

#[test]
fn replica_evidence_is_limited_by_the_age_of_the_last_read() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    let late = evidence(8_500, 8_500);
    assert!(is_valid(&proof, &late, ms(8_999)));
    assert!(!is_valid(&proof, &late, ms(9_000)));
}

#[test]
fn a_primary_without_replicas_needs_the_store() {
    let mut proof = listed_proof();
    proof.note_read(ms(1_000));
    let until = proof.valid_until(&evidence(2_500, 2_500), &replicas(&[]));
    assert_eq!(until, Some(ms(3_000)));
}

#[test]
fn only_a_host_that_followed_the_list_long_enough_knows_all_hosts() {
    let mut proof = listed_proof();
    for sent_at_ms in (1_000..11_000).step_by(800) {
        proof.note_read(ms(sent_at_ms));
    }
    assert!(!proof.knows_all_hosts(ms(11_000)));
    proof.note_read(ms(11_200));
    assert!(proof.knows_all_hosts(ms(11_200)));
    // A gap restarts the required period.
    proof.note_read(ms(13_000));
    assert!(!proof.knows_all_hosts(ms(13_100)));
}

#[test]
fn at_a_first_start_a_host_knows_all_hosts_at_once() {
    let mut proof = LeadProof::new(SETTINGS, true);
    proof.note_read(ms(1_000));
    assert!(proof.knows_all_hosts(ms(1_100)));
    proof.note_read(ms(5_000));
    assert!(!proof.knows_all_hosts(ms(5_100)));
}

// Guards against a host that was restarted and waits out all windows before each change of primary
// for as long as a host may be unknown to it.
#[test]
fn a_restarted_host_learns_from_another_one_which_hosts_were_listed() {
    let mut proof = listed_proof();
    for second in 1..=3 {
        proof.note_read(ms(second * 1_000));
    }
    assert!(proof.needs_complete_list(ms(3_100)));
    assert!(!proof.knows_all_hosts(ms(3_100)));
    proof.note_complete_list(ms(3_100));
    assert!(proof.knows_all_hosts(ms(3_200)));
    assert!(!proof.needs_complete_list(ms(3_200)));
}

// Guards against a host that was listed after the other host's latest read and before this one's
// first read, which neither of them knows.
#[test]
fn a_complete_list_must_reach_to_the_first_read_of_the_host_itself() {
    let mut proof = listed_proof();
    proof.note_read(ms(3_000));
    assert!(!proof.needs_complete_list(ms(3_999)));
    proof.note_complete_list(ms(3_999));
    assert!(!proof.knows_all_hosts(ms(3_999)));
    proof.note_complete_list(ms(4_000));
    assert!(proof.knows_all_hosts(ms(4_000)));
}

// Guards against a host that was listed while this one could not read the list.
#[test]
fn a_gap_between_reads_ends_what_another_host_told() {
    let mut proof = listed_proof();
    for second in 1..=3 {
        proof.note_read(ms(second * 1_000));
    }
    proof.note_complete_list(ms(3_100));
    proof.note_read(ms(5_000));
    assert!(!proof.knows_all_hosts(ms(5_000)));
}

#[test]
fn a_change_proceeds_when_every_host_has_stopped() {
    let mut wait = StopWait::new(SETTINGS, ms(1_000), hosts(&["b", "c"]), true);
    wait.note_stopped("b");
    assert!(!wait.is_over(ms(1_100)));
    wait.note_stopped("c");
    assert!(wait.is_over(ms(1_100)));
}

#[test]
fn a_silent_host_is_waited_for_until_its_window_expires() {
    let wait = StopWait::new(SETTINGS, ms(1_000), hosts(&["b"]), true);
    assert!(!wait.is_over(ms(3_049)));
    assert!(wait.is_over(ms(3_050)));
}

// Guards against a failure in which the store forgot every host during an outage. The first host to
// come back replaced a primary that five hosts still used on the store's last answer.
#[test]
fn unknown_hosts_are_waited_for_until_their_windows_expire() {
    let wait = StopWait::new(SETTINGS, ms(1_000), hosts(&[]), false);
    assert!(!wait.is_over(ms(3_049)));
    assert!(wait.is_over(ms(3_050)));
}

#[test]
fn marking_another_replica_restarts_the_wait() {
    let mut wait = StopWait::new(SETTINGS, ms(1_000), hosts(&["b"]), true);
    wait.restart(ms(1_500));
    assert!(!wait.is_over(ms(3_100)));
    assert!(wait.is_over(ms(3_550)));
}

// A restored store lists no host of before. Guards against a change of primary that does not wait for
// hosts which rely on what the store said before.
#[test]
fn a_host_does_not_know_all_hosts_after_a_restore() {
    let mut proof = LeadProof::new(SETTINGS, true);
    proof.note_read(ms(1_000));
    assert!(proof.knows_all_hosts(ms(1_500)));
    proof.note_restored();
    proof.note_read(ms(1_800));
    assert!(!proof.knows_all_hosts(ms(1_900)));
    let max_use = SETTINGS.max_use_after_listing();
    let mut now = ms(1_800);
    while now < ms(1_800) + max_use {
        now += ms(800);
        proof.note_read(now);
    }
    assert!(proof.knows_all_hosts(now));
}

// Guards against ignoring what processes acknowledged that ended before this host followed the list.
#[test]
fn processes_from_before_the_first_read_may_have_used_a_primary() {
    let mut first = LeadProof::new(SETTINGS, true);
    assert_eq!(first.unlisted_use_until(), None);
    first.note_read(ms(1_000));
    assert_eq!(first.unlisted_use_until(), None);
    // During a gap a host may have been listed and removed again.
    first.note_read(ms(5_000));
    let max_use = SETTINGS.max_use_after_listing();
    assert_eq!(first.unlisted_use_until(), Some(ms(5_000) + max_use));
    let mut later = LeadProof::new(SETTINGS, false);
    assert_eq!(later.unlisted_use_until(), Some(Monotonic::MAX));
    later.note_read(ms(2_000));
    later.note_complete_list(ms(4_000));
    assert_eq!(later.unlisted_use_until(), Some(ms(2_000) + max_use));
}
