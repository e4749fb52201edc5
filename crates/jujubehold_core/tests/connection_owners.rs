//! Tests of the owners of instance connections, for every split of hosts over failure domains.

use std::collections::{BTreeMap, BTreeSet};

use jujubehold_core::connection_owners::{ConnectionOwners, control_connections};
use jujubehold_core::ownership::OWNERS_PER_INSTANCE;
use jujubehold_core::prelude::*;

fn hosts(count: usize) -> Vec<HostId> {
    (0..count).map(|n| format!("host-{n}").into()).collect()
}

fn owners(domain: &[HostId], hosts: usize, max: usize, control: usize) -> Option<ConnectionOwners> {
    ConnectionOwners::new(&"s".into(), &"i-a".into(), domain, hosts, max, control)
}

// Owners outside the instance's failure domain, or more hosts that take an owner's share than there
// are owners, would exceed what the instance accepts.
#[test]
fn the_owners_shares_and_the_control_connections_fit_for_every_split_of_hosts() {
    for count in 1..=130 {
        let all = hosts(count);
        for in_domain in 0..=count {
            let domain = &all[..in_domain];
            for (max, control) in [
                (1, 0),
                (2, 0),
                (3, 2),
                (21, 15),
                (40, 0),
                (40, 15),
                (73, 15),
            ] {
                let owners = owners(domain, count, max, control);
                let is_expected = count >= max && max > OWNERS_PER_INSTANCE && in_domain > 0;
                assert_eq!(owners.is_some(), is_expected, "{count} {in_domain} {max}");
                let Some(owners) = owners else { continue };
                let chosen: Vec<_> = all.iter().filter(|host| owners.is_owner(host)).collect();
                assert_eq!(chosen.len(), in_domain.min(OWNERS_PER_INSTANCE));
                assert!(chosen.iter().all(|host| domain.contains(host)));
                let owned: usize = chosen.iter().map(|host| owners.share(host)).sum();
                assert!(
                    owned + control.min(max - 2) <= max,
                    "{owned} {control} {max}"
                );
                assert!(all.iter().all(|host| owners.share(host) >= 1));
            }
        }
    }
}

#[test]
fn an_owner_has_two_fifths_where_few_hosts_make_control_calls() {
    let all = hosts(86);
    let owners = owners(&all[..14], 86, 40, 6).expect("there are more hosts than connections");
    let shares: Vec<_> = all.iter().map(|host| owners.share(host)).collect();
    assert_eq!(shares.iter().filter(|share| **share == 16).count(), 2);
    assert_eq!(shares.iter().filter(|share| **share == 1).count(), 84);
}

// With one owner for all customers the other's connections would be of no use; with an order that
// depends on the asking host, each customer would need connections at both.
#[test]
fn customers_are_spread_over_both_owners_and_each_keeps_its_own() {
    let all = hosts(86);
    let before = owners(&all[..14], 86, 40, 0).expect("owners are active");
    let first = |owners: &ConnectionOwners, customer: &str| owners.order(customer).next().cloned();
    let mut counts = BTreeMap::new();
    for number in 0..85 {
        let customer = format!("customer-{number}");
        let order: BTreeSet<_> = before.order(&customer).collect();
        assert_eq!(order.len(), 2);
        *counts.entry(first(&before, &customer)).or_insert(0) += 1;
        // Another host that joins in another failure domain changes nothing.
        let after = owners(&all[..14], 87, 40, 0).expect("owners are active");
        assert_eq!(first(&after, &customer), first(&before, &customer));
    }
    assert!(counts.values().all(|count| *count > 25), "{counts:?}");
}

#[test]
fn a_host_with_two_duties_keeps_one_control_connection() {
    let all = hosts(12);
    assert_eq!(control_connections(&all[..9], &all[6..12]), 12);
}

// Guards against control connections that leave an owner none.
#[test]
fn control_connections_are_kept_only_where_the_owners_have_theirs_beside_them() {
    let all = hosts(86);
    for (max, control, leaves_some) in
        [(3, 4, false), (6, 4, true), (16, 15, false), (40, 15, true)]
    {
        let owners = owners(&all, 86, max, control).expect("owners are active");
        let leaves = owners.leaves_control_connections();
        assert_eq!(leaves, leaves_some, "{max} {control}");
    }
}
