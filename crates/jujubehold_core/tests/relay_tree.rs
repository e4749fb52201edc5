//! Tests that a notification reaches every live host of a failure domain with a few copies from
//! each.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use jujubehold_core::ownership::{CONFIG_WATCHERS_PER_DOMAIN, config_watchers};
use jujubehold_core::prelude::*;
use jujubehold_core::relay_tree::{
    FANOUT, MAX_DIRECT_RECEIVERS, RelayHistory, RelayTree, initial_copies,
};

const DOMAIN_SIZES: [usize; 7] = [1, 2, 3, 8, 9, 24, 92];

fn hosts(count: usize) -> BTreeSet<HostId> {
    (0..count).map(|n| format!("host-{n:03}").into()).collect()
}

fn relays(hosts: &BTreeSet<HostId>) -> Vec<HostId> {
    config_watchers(&"delta".into(), hosts, CONFIG_WATCHERS_PER_DOMAIN)
}

/// The hosts that a notification reached and the copies that each host sent.
struct RelayOutcome {
    reached: BTreeSet<HostId>,
    sent: BTreeMap<HostId, usize>,
}

/// Relays the notification `key` from `origins` while `dead` relays nothing and no host knows that
/// it is dead.
fn relay(
    key: &str,
    hosts: &BTreeSet<HostId>,
    origins: &[HostId],
    dead: Option<&HostId>,
) -> RelayOutcome {
    let mut histories: BTreeMap<HostId, RelayHistory> = BTreeMap::new();
    let mut sent: BTreeMap<HostId, usize> = BTreeMap::new();
    let mut reached = BTreeSet::new();
    let mut in_flight = VecDeque::new();
    for origin in origins.iter().filter(|origin| Some(*origin) != dead) {
        reached.insert(origin.clone());
        let copies = initial_copies(key, hosts, origin, &relays(hosts));
        *sent.entry(origin.clone()).or_default() += copies.len();
        in_flight.extend(copies.into_iter().map(|copy| (copy.to, copy.tree)));
    }
    while let Some((host, tree)) = in_flight.pop_front() {
        if Some(&host) == dead {
            continue;
        }
        reached.insert(host.clone());
        let Some(tree) = tree else {
            continue;
        };
        if !histories
            .entry(host.clone())
            .or_default()
            .insert(key, &tree)
        {
            continue;
        }
        let next = tree.receivers(key, hosts, &host);
        *sent.entry(host).or_default() += next.len();
        in_flight.extend(next.into_iter().map(|to| (to, Some(tree.clone()))));
    }
    RelayOutcome { reached, sent }
}

#[test]
fn every_host_is_reached_by_a_few_copies_from_each() {
    for size in DOMAIN_SIZES {
        let hosts = hosts(size);
        let relay = relay("service/shares/7", &hosts, &relays(&hosts), None);
        assert_eq!(relay.reached, hosts);
        let max_sent = relay.sent.values().max().copied().unwrap_or_default();
        assert!(max_sent <= MAX_DIRECT_RECEIVERS, "{size}: {max_sent}");
        if size > MAX_DIRECT_RECEIVERS + 1 {
            assert_eq!(max_sent, FANOUT, "{size}");
        }
    }
}

#[test]
fn a_single_dead_host_keeps_the_notification_from_no_other() {
    for size in DOMAIN_SIZES {
        let hosts = hosts(size);
        for dead in &hosts {
            let mut live = hosts.clone();
            live.remove(dead);
            let mut relay = relay("service/shares/7", &hosts, &relays(&hosts), Some(dead));
            // A single host has no other origin, so there is no notification.
            if size > 1 {
                relay.reached.remove(dead);
                assert_eq!(relay.reached, live, "{size} without {dead}");
            }
        }
    }
}

#[test]
fn a_notification_from_a_host_that_is_no_relay_survives_any_other_dead_host() {
    for size in DOMAIN_SIZES.into_iter().filter(|size| *size > 3) {
        let hosts = hosts(size);
        let relays = relays(&hosts);
        let origin = hosts.iter().find(|host| !relays.contains(host)).cloned();
        let origin = origin.expect("most hosts are no relays");
        for dead in hosts.iter().filter(|host| **host != origin) {
            let mut live = hosts.clone();
            live.remove(dead);
            let key = "leaving/host-000/1";
            let relay = relay(key, &hosts, std::slice::from_ref(&origin), Some(dead));
            assert_eq!(relay.reached, live, "{size} without {dead}");
            let max_sent = relay.sent.values().max().copied().unwrap_or_default();
            assert!(max_sent <= 2 * FANOUT, "{size}: {max_sent}");
        }
    }
}

#[test]
fn the_copies_of_many_changes_are_distributed_over_the_hosts() {
    let hosts = hosts(92);
    let mut sent: BTreeMap<HostId, usize> = BTreeMap::new();
    for generation in 0..300 {
        let key = format!("service/shares/{generation}");
        for (host, count) in relay(&key, &hosts, &relays(&hosts), None).sent {
            *sent.entry(host).or_default() += count;
        }
    }
    // On average a host sends two copies of a change, a relay three.
    let is_fair = |count: &usize| (400..=3 * 300).contains(count);
    assert!(sent.values().all(is_fair), "{sent:?}");
    assert_eq!(sent.len(), hosts.len());
}

#[test]
fn a_host_relays_a_notification_once_in_each_tree() {
    let tree = RelayTree {
        root: "host-000".into(),
        other_root: "host-001".into(),
        is_reversed: false,
    };
    let mut history = RelayHistory::default();
    assert!(history.insert("service/shares/7", &tree));
    assert!(!history.insert("service/shares/7", &tree));
    assert!(history.insert("service/shares/8", &tree));
    let reversed = RelayTree {
        is_reversed: true,
        ..tree
    };
    assert!(history.insert("service/shares/7", &reversed));
}
