//! Tests when a primary counts as lost, and which replica takes over.

use std::time::Duration;

use jujubehold_core::candidate_choice::{CandidateChoice, CandidateStatus, choose_candidate};
use jujubehold_core::lead_table::{Lead, LeadChange, LeadTable};
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use jujubehold_core::primary_votes::{PrimarySilence, PrimaryVoteSettings, PrimaryVotes};
use jujubehold_core::primary_watchers::{PRIMARY_WATCHERS, acting_rank, primary_watchers};
use jujubehold_core::stall_detector::StallDetector;

fn ms(value: u64) -> Monotonic {
    Duration::from_millis(value)
}

fn status(instance: &str, role: Role, term: u64, position: u64) -> CandidateStatus {
    CandidateStatus {
        instance: instance.into(),
        role,
        term,
        received: LogPosition { term, position },
        is_unmarked: true,
        is_leaving: false,
        may_lead: true,
    }
}

fn silence(silent_since: Option<u64>) -> PrimarySilence {
    PrimarySilence {
        silent_since: silent_since.map(ms),
        host_steady_since: Monotonic::ZERO,
        primary_since: Monotonic::ZERO,
    }
}

fn votes_of(not_reaching: &[&str], reaching: &[&str]) -> PrimaryVotes {
    let mut votes = PrimaryVotes::new(PrimaryVoteSettings::default());
    for host in not_reaching {
        votes.note(ms(100), &HostId::from(*host), &"p".into(), true);
    }
    for host in reaching {
        votes.note(ms(150), &HostId::from(*host), &"p".into(), false);
    }
    votes
}

#[test]
fn a_primary_is_lost_when_half_of_the_voting_hosts_cannot_reach_it() {
    let mut votes = votes_of(&["a", "b"], &["c", "d", "e"]);
    assert!(!votes.is_lost(ms(400), &"p".into(), &"a".into(), 6));
    let mut votes = votes_of(&["a", "b", "c"], &["d", "e", "f"]);
    assert!(votes.is_lost(ms(400), &"p".into(), &"a".into(), 6));
}

// Guards against a failure in which a primary was cut off with three of six hosts. The two hosts
// that could still reach the store and the replicas waited until its entry had expired.
#[test]
fn hosts_that_do_not_vote_do_not_keep_a_primary() {
    let mut votes = votes_of(&["a", "b"], &[]);
    assert!(votes.is_lost(ms(400), &"p".into(), &"a".into(), 6));
}

#[test]
fn a_single_vote_is_enough_only_without_other_hosts() {
    let mut votes = votes_of(&["a"], &[]);
    assert!(!votes.is_lost(ms(400), &"p".into(), &"a".into(), 2));
    assert!(votes.is_lost(ms(400), &"p".into(), &"a".into(), 1));
}

#[test]
fn votes_are_collected_before_they_count() {
    let mut votes = votes_of(&["a", "b"], &[]);
    assert!(!votes.is_lost(ms(300), &"p".into(), &"a".into(), 6));
}

#[test]
fn votes_are_for_one_instance_and_expire() {
    let mut votes = votes_of(&["a", "b"], &[]);
    assert!(!votes.is_lost(ms(400), &"q".into(), &"a".into(), 6));
    assert!(!votes.is_lost(ms(2_000), &"p".into(), &"a".into(), 6));
}

#[test]
fn a_host_votes_only_after_the_whole_timeout() {
    let votes = PrimaryVotes::new(PrimaryVoteSettings {
        unreachable_after: ms(500),
        ..PrimaryVoteSettings::default()
    });
    assert!(!votes.counts_as_unreachable(&silence(None), ms(9_000)));
    assert!(!votes.counts_as_unreachable(&silence(Some(1_000)), ms(1_499)));
    assert!(votes.counts_as_unreachable(&silence(Some(1_000)), ms(1_500)));
}

// A host that was suspended reads the answers only after it has run again for a moment, and an
// instance that has just become the primary is short of connections for all hosts at once.
#[test]
fn silence_that_has_another_cause_is_no_vote() {
    let votes = PrimaryVotes::new(PrimaryVoteSettings::default());
    let after_stall = PrimarySilence {
        host_steady_since: ms(4_000),
        ..silence(Some(1_000))
    };
    assert!(!votes.counts_as_unreachable(&after_stall, ms(4_499)));
    assert!(votes.counts_as_unreachable(&after_stall, ms(4_500)));
    let after_change = PrimarySilence {
        primary_since: ms(4_000),
        ..silence(Some(1_000))
    };
    assert!(!votes.counts_as_unreachable(&after_change, ms(4_999)));
    assert!(votes.counts_as_unreachable(&after_change, ms(5_000)));
}

// In an installation of hundreds of hosts there are always two with a problem of their own. Their
// votes reach the other watchers, but the answers of those that reach the primary go to the two.
#[test]
fn a_host_that_reaches_the_primary_does_not_count_the_votes_of_others() {
    let mut votes = votes_of(&["a", "b"], &[]);
    assert!(!votes.is_lost(ms(400), &"p".into(), &"c".into(), 6));
}

#[test]
fn two_of_many_watchers_are_not_enough() {
    let mut votes = votes_of(&["a", "b"], &[]);
    assert!(!votes.is_lost(ms(400), &"p".into(), &"a".into(), 295));
    let mut votes = votes_of(&["a", "b", "c"], &[]);
    assert!(votes.is_lost(ms(400), &"p".into(), &"a".into(), 295));
}

#[test]
fn the_watchers_are_as_many_in_every_large_installation() {
    let hosts: Vec<HostId> = (0..295).map(|n| format!("host-{n}").into()).collect();
    let watchers = primary_watchers(&hosts);
    assert_eq!(watchers.len(), PRIMARY_WATCHERS);
    for (rank, watcher) in watchers.iter().enumerate() {
        assert_eq!(acting_rank(watcher, &hosts), rank);
    }
    assert_eq!(primary_watchers(&hosts[..6]).len(), 6);
}

#[test]
fn a_host_is_steady_since_its_last_late_tick() {
    let mut stalls = StallDetector::new(ms(100));
    for tick in [100, 200, 440] {
        stalls.note_tick(ms(tick));
    }
    assert_eq!(stalls.steady_since(), ms(0));
    stalls.note_tick(ms(2_000));
    assert_eq!(stalls.steady_since(), ms(2_000));
}

#[test]
fn the_replica_that_received_most_takes_over() {
    let statuses = [
        status("b", Role::Replica, 3, 1_200),
        status("c", Role::Replica, 3, 1_207),
    ];
    let choice = choose_candidate(&"a".into(), 3, &statuses);
    assert_eq!(choice, CandidateChoice::Promote("c".into()));
}

#[test]
fn a_leaving_replica_takes_over_only_without_another() {
    let mut leaving = status("c", Role::Replica, 3, 1_207);
    leaving.is_leaving = true;
    let statuses = [leaving.clone(), status("b", Role::Replica, 3, 1_200)];
    let choice = choose_candidate(&"a".into(), 3, &statuses);
    assert_eq!(choice, CandidateChoice::Promote("b".into()));
    let choice = choose_candidate(&"a".into(), 3, &[leaving]);
    assert_eq!(choice, CandidateChoice::Promote("c".into()));
}

#[test]
fn an_earlier_promotion_that_took_effect_is_kept() {
    let statuses = [
        status("b", Role::Primary, 4, 1_190),
        status("c", Role::Replica, 3, 1_207),
    ];
    let choice = choose_candidate(&"a".into(), 3, &statuses);
    assert_eq!(choice, CandidateChoice::AlreadyPrimary(statuses[0].clone()));
}

// "a" was replaced by "b" in term 2, but has not noticed, because it cannot reach "b". No commit of
// term 2 has reached "c" when "b" is replaced in turn.
#[test]
fn a_replaced_primary_that_has_not_noticed_is_not_the_newest_primary() {
    let statuses = [
        status("a", Role::Primary, 1, 1_207),
        status("c", Role::Replica, 1, 1_200),
    ];
    let choice = choose_candidate(&"b".into(), 2, &statuses);
    assert_eq!(choice, CandidateChoice::Promote("c".into()));
}

#[test]
fn the_old_primary_is_not_chosen() {
    let statuses = [status("a", Role::Primary, 3, 1_207)];
    let choice = choose_candidate(&"a".into(), 3, &statuses);
    assert_eq!(choice, CandidateChoice::None);
}

#[test]
fn a_primary_is_not_usable_while_it_is_being_replaced() {
    let lead = |change| Lead {
        primary: "a".into(),
        term: 1,
        change,
    };
    let mut table = LeadTable {
        revision: 7,
        ..LeadTable::default()
    };
    table.leads.insert("s".into(), lead(None));
    assert_eq!(table.usable_primary("s"), Some(&"a".into()));
    let change = LeadChange {
        by: "h".into(),
        is_planned: false,
        awaits_instance: false,
    };
    let newer = LeadTable {
        revision: 8,
        ..table.with_lead(&"s".into(), lead(Some(change)))
    };
    assert!(!newer.clone().adopt(table.clone()));
    assert!(table.adopt(newer));
    assert_eq!(table.usable_primary("s"), None);
}
