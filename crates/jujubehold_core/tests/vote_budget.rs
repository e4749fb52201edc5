//! Tests on how many primaries a host votes, and in which order.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubehold_core::ids::{Monotonic, ServiceId};
use jujubehold_core::vote_budget::{MAX_VOTED_SERVICES, VOTE_ROUND, VoteRounds};

fn services(numbers: impl IntoIterator<Item = u32>) -> BTreeSet<ServiceId> {
    let names = numbers.into_iter().map(|number| format!("s{number:03}"));
    names.map(|name| ServiceId::from(name.as_str())).collect()
}

fn ms(time_ms: u64) -> Monotonic {
    Duration::from_millis(time_ms)
}

// A host whose link was full missed 178 primaries and sent 7,000 votes a second.
#[test]
fn a_host_that_misses_all_primaries_votes_on_few() {
    let all = services(0..178);
    let mut rounds = VoteRounds::default();
    for step in 0..1_000 {
        let voted = rounds.voted_services(ms(step * 100), &all, &all);
        assert_eq!(voted.len(), MAX_VOTED_SERVICES);
    }
}

#[test]
fn watchers_that_miss_the_same_primaries_vote_on_the_same() {
    let all = services(0..178);
    let lost = services(100..160);
    let first = VoteRounds::default().voted_services(ms(0), &all, &lost);
    let second = VoteRounds::default().voted_services(ms(9_000), &all, &lost);
    assert_eq!(first, second);
    assert_eq!(first[0], ServiceId::from("s100"));
}

// Once the first ones are replaced, the others take their places.
#[test]
fn every_lost_primary_is_voted_on_in_turn() {
    let all = services(0..60);
    let mut lost = all.clone();
    let mut rounds = VoteRounds::default();
    let mut times = 0;
    while !lost.is_empty() {
        let voted = rounds.voted_services(ms(0), &all, &lost);
        lost.retain(|service| !voted.contains(service));
        times += 1;
    }
    assert_eq!(times, 4);
}

// Sixteen primaries without a usable replica stay lost. The seventeenth could be replaced.
#[test]
fn primaries_that_stay_lost_do_not_keep_others_from_being_voted_on() {
    let all = services(0..178);
    for lost in [services(0..17), services(160..177), all.clone()] {
        let mut rounds = VoteRounds::default();
        let mut voted = BTreeSet::new();
        for step in 0..300 {
            voted.extend(rounds.voted_services(ms(step * 100), &all, &lost));
        }
        assert_eq!(voted, lost);
    }
}

// Few hosts miss all primaries, and others only those that are lost. A vote counts only together
// with others.
#[test]
fn watchers_that_miss_different_primaries_meet_on_each_lost_one() {
    let all = services(0..178);
    let lost = services((0..178).filter(|number| number % 4 == 1));
    let mut first = VoteRounds::default();
    let mut second = VoteRounds::default();
    let mut together = BTreeSet::new();
    for step in 0..300 {
        let now = ms(step * 100);
        // The second one starts later.
        let by_first = first.voted_services(now, &all, &lost);
        if step < 70 {
            continue;
        }
        second.note_heard(now, first.round());
        let by_second = second.voted_services(now, &all, &all);
        first.note_heard(now, second.round());
        together.extend(by_first.into_iter().filter(|it| by_second.contains(it)));
    }
    assert_eq!(together, lost);
}

// A watcher that has only just missed a primary collects the others' votes before it acts.
#[test]
fn a_round_lasts_longer_than_the_votes_take() {
    let all = services(0..60);
    let mut rounds = VoteRounds::default();
    let voted = rounds.voted_services(ms(500), &all, &all);
    let last = ms(499) + VOTE_ROUND;
    assert_eq!(rounds.voted_services(last, &all, &all), voted);
    assert_ne!(rounds.voted_services(last + ms(1), &all, &all), voted);
}

// Datagrams may arrive late and in another order.
#[test]
fn a_late_vote_does_not_take_a_watcher_back() {
    let mut rounds = VoteRounds::default();
    rounds.note_heard(ms(0), 7);
    rounds.note_heard(ms(100), 3);
    assert_eq!(rounds.round(), 7);
}
