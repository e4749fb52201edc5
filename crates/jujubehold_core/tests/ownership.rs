//! Tests that every host derives the same owners and that few owners change when a host leaves.

use std::collections::BTreeSet;

use jujubehold_core::ownership::{OWNERS_PER_INSTANCE, config_watchers, owners, quota, weight};
use jujubehold_core::prelude::*;

fn hosts(count: usize) -> BTreeSet<HostId> {
    (0..count).map(|n| format!("host-{n}").into()).collect()
}

#[test]
fn the_hash_is_the_same_in_every_version() {
    assert_eq!(weight("shares/a", "host-1"), 0x5461_7dc7_c4e5_369e);
    let first: Vec<_> = owners("shares/a", &hosts(8), 3);
    assert_eq!(first, ["host-2", "host-6", "host-3"]);
}

#[test]
fn removing_a_host_moves_only_what_it_owned() {
    let before = hosts(92);
    let mut after = before.clone();
    let removed: HostId = "host-17".into();
    after.remove(&removed);
    let mut moved = 0;
    for instance in 0..500 {
        let key = format!("service-{instance}/a");
        let old = owners(&key, &before, OWNERS_PER_INSTANCE);
        let new = owners(&key, &after, OWNERS_PER_INSTANCE);
        if old.contains(&removed) {
            moved += 1;
        } else {
            assert_eq!(old, new, "{key}");
        }
    }
    // 500 instances with two owners each are 1,000 ownerships, spread over 92 hosts.
    assert!((2..=25).contains(&moved), "{moved}");
}

#[test]
fn owners_are_spread_evenly() {
    let hosts = hosts(10);
    let mut counts = std::collections::BTreeMap::<HostId, u32>::new();
    for instance in 0..2000 {
        for owner in owners(
            &format!("service-{instance}/a"),
            &hosts,
            OWNERS_PER_INSTANCE,
        ) {
            *counts.entry(owner).or_default() += 1;
        }
    }
    assert!(
        counts.values().all(|count| (300..=500).contains(count)),
        "{counts:?}"
    );
}

#[test]
fn one_additional_owner_stays_under_the_connection_limit() {
    for connections in [9, 20, 40, 100] {
        assert!(quota(connections, OWNERS_PER_INSTANCE, 6) * 3 + 6 <= connections);
    }
    assert_eq!(quota(20, 2, 6), 4);
    assert_eq!(quota(1, 2, 6), 1);
}

#[test]
fn a_domain_with_few_hosts_uses_all_of_them() {
    assert_eq!(config_watchers(&"delta".into(), &hosts(1), 2), ["host-0"]);
    assert!(config_watchers(&"delta".into(), &hosts(0), 2).is_empty());
}
