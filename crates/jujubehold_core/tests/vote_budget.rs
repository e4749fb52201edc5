//! Tests on how many primaries a host votes.

use jujubehold_core::ids::ServiceId;
use jujubehold_core::vote_budget::{MAX_VOTED_SERVICES, voted_services};

fn services(numbers: impl IntoIterator<Item = u32>) -> Vec<ServiceId> {
    let names = numbers.into_iter().map(|number| format!("s{number:03}"));
    names.map(|name| ServiceId::from(name.as_str())).collect()
}

// A host whose link was full missed 178 primaries and sent 7,000 votes a second.
#[test]
fn a_host_that_misses_all_primaries_votes_on_few() {
    assert_eq!(voted_services(services(0..178)).len(), MAX_VOTED_SERVICES);
}

#[test]
fn watchers_that_miss_the_same_primaries_vote_on_the_same() {
    let forward = voted_services(services(100..160));
    let backward = voted_services(services((100..160).rev()));
    assert_eq!(forward, backward);
    assert_eq!(forward[0], ServiceId::from("s100"));
}

// Once the first ones are replaced, the others take their places.
#[test]
fn every_lost_primary_is_voted_on_in_turn() {
    let mut lost = services(0..60);
    let mut rounds = 0;
    while !lost.is_empty() {
        let voted = voted_services(lost.iter().cloned());
        lost.retain(|service| !voted.contains(service));
        rounds += 1;
    }
    assert_eq!(rounds, 4);
}
