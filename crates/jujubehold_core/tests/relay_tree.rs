//! News reaches every live host of a failure domain by a few copies from each.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use jujubehold_core::ownership::{CONFIG_WATCHERS, config_watchers};
use jujubehold_core::prelude::*;
use jujubehold_core::relay_tree::{DIRECT_LIMIT, FANOUT, RelayMemory, RelayTree, first_copies};

const SIZES: [usize; 7] = [1, 2, 3, 8, 9, 24, 92];

fn hosts(count: usize) -> BTreeSet<HostId> {
    (0..count).map(|n| format!("host-{n:03}").into()).collect()
}

fn relays(hosts: &BTreeSet<HostId>) -> Vec<HostId> {
    config_watchers(&"delta".into(), hosts, CONFIG_WATCHERS)
}

/// What became of one piece of news.
struct Spread {
    reached: BTreeSet<HostId>,
    sent: BTreeMap<HostId, usize>,
}

/// Tells `key` from `origins`, with `dead` passing nothing on though nobody knows that it died.
fn spread(
    key: &str,
    hosts: &BTreeSet<HostId>,
    origins: &[HostId],
    dead: Option<&HostId>,
) -> Spread {
    let mut memories: BTreeMap<HostId, RelayMemory> = BTreeMap::new();
    let mut sent: BTreeMap<HostId, usize> = BTreeMap::new();
    let mut reached = BTreeSet::new();
    let mut under_way = VecDeque::new();
    for origin in origins.iter().filter(|origin| Some(*origin) != dead) {
        reached.insert(origin.clone());
        let copies = first_copies(key, hosts, origin, &relays(hosts));
        *sent.entry(origin.clone()).or_default() += copies.len();
        under_way.extend(copies.into_iter().map(|copy| (copy.to, copy.tree)));
    }
    while let Some((host, tree)) = under_way.pop_front() {
        if Some(&host) == dead {
            continue;
        }
        reached.insert(host.clone());
        let Some(tree) = tree else {
            continue;
        };
        if !memories
            .entry(host.clone())
            .or_default()
            .is_first(key, &tree)
        {
            continue;
        }
        let next = tree.receivers(key, hosts, &host);
        *sent.entry(host).or_default() += next.len();
        under_way.extend(next.into_iter().map(|to| (to, Some(tree.clone()))));
    }
    Spread { reached, sent }
}

#[test]
fn every_host_is_reached_by_a_few_copies_from_each() {
    for size in SIZES {
        let hosts = hosts(size);
        let spread = spread("service/shares/7", &hosts, &relays(&hosts), None);
        assert_eq!(spread.reached, hosts);
        let most = spread.sent.values().max().copied().unwrap_or_default();
        assert!(most <= DIRECT_LIMIT, "{size}: {most}");
        if size > DIRECT_LIMIT + 1 {
            assert_eq!(most, FANOUT, "{size}");
        }
    }
}

#[test]
fn no_single_dead_host_keeps_the_news_from_another() {
    for size in SIZES {
        let hosts = hosts(size);
        for dead in &hosts {
            let mut live = hosts.clone();
            live.remove(dead);
            let mut spread = spread("service/shares/7", &hosts, &relays(&hosts), Some(dead));
            // With nobody else to begin there is no news.
            if size > 1 {
                spread.reached.remove(dead);
                assert_eq!(spread.reached, live, "{size} without {dead}");
            }
        }
    }
}

#[test]
fn news_of_a_host_that_is_no_relay_survives_any_other_dead_host() {
    for size in SIZES.into_iter().filter(|size| *size > 3) {
        let hosts = hosts(size);
        let relays = relays(&hosts);
        let origin = hosts.iter().find(|host| !relays.contains(host)).cloned();
        let origin = origin.expect("most hosts are no relays");
        for dead in hosts.iter().filter(|host| **host != origin) {
            let mut live = hosts.clone();
            live.remove(dead);
            let key = "leaving/host-000/1";
            let spread = spread(key, &hosts, std::slice::from_ref(&origin), Some(dead));
            assert_eq!(spread.reached, live, "{size} without {dead}");
            let most = spread.sent.values().max().copied().unwrap_or_default();
            assert!(most <= 2 * FANOUT, "{size}: {most}");
        }
    }
}

#[test]
fn the_copies_of_many_changes_are_spread_over_the_hosts() {
    let hosts = hosts(92);
    let mut sent: BTreeMap<HostId, usize> = BTreeMap::new();
    for generation in 0..300 {
        let key = format!("service/shares/{generation}");
        for (host, count) in spread(&key, &hosts, &relays(&hosts), None).sent {
            *sent.entry(host).or_default() += count;
        }
    }
    // A host sends two copies of a change on average, a relay three.
    let is_fair = |count: &usize| (400..=3 * 300).contains(count);
    assert!(sent.values().all(is_fair), "{sent:?}");
    assert_eq!(sent.len(), hosts.len());
}

#[test]
fn hosts_that_disagree_on_who_is_live_pass_nothing_around_in_a_circle() {
    let tree = RelayTree {
        root: "host-000".into(),
        other_root: "host-001".into(),
        is_reversed: false,
    };
    let mut memory = RelayMemory::default();
    assert!(memory.is_first("service/shares/7", &tree));
    assert!(!memory.is_first("service/shares/7", &tree));
    assert!(memory.is_first("service/shares/8", &tree));
    let reversed = RelayTree {
        is_reversed: true,
        ..tree
    };
    assert!(memory.is_first("service/shares/7", &reversed));
}
