//! Tests that a change of a group's instances never allows two majorities without a common
//! instance.

mod support;

use std::collections::BTreeSet;

use jujubehold_core::failover::{Failover, FailoverSettings};
use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::former_members::FormerMembers;
use jujubehold_core::prelude::*;

use support::{config, ms, status};

const INSTANCE_NAMES: [&str; 5] = ["a", "b", "c", "d", "e"];

fn with_members(members: &BTreeSet<InstanceId>) -> ServiceConfig {
    let template = config().instances["a"].clone();
    let instances = members.iter().map(|name| (name.clone(), template.clone()));
    ServiceConfig {
        instances: instances.collect(),
        ..config()
    }
}

/// Returns every subset of `members`.
fn subsets(members: &BTreeSet<InstanceId>) -> Vec<BTreeSet<InstanceId>> {
    let names: Vec<_> = members.iter().collect();
    (0..1_u32 << names.len())
        .map(|bits| {
            let chosen = names.iter().enumerate();
            let chosen = chosen.filter(|(index, _)| bits & (1 << index) != 0);
            chosen.map(|(_, name)| (*name).clone()).collect()
        })
        .collect()
}

/// Returns a majority that the `fencing` list accepts and a proof that the `proving` list accepts
/// which have no instance in common, if such a pair exists.
fn disjoint_sets(fencing: &ServiceConfig, proving: &ServiceConfig) -> Option<String> {
    let members = |config: &ServiceConfig| config.instances.keys().cloned().collect();
    for fenced in subsets(&members(fencing)) {
        if !fencing.is_majority(|name| fenced.contains(name)) {
            continue;
        }
        for proved in subsets(&members(proving)) {
            let is_proof = proving.intersects_every_majority(|name| proved.contains(name));
            if is_proof && proved.is_disjoint(&fenced) {
                return Some(format!(
                    "{fenced:?} is fenced and disjoint from the proof {proved:?}"
                ));
            }
        }
    }
    None
}

/// Returns every pair of different lists.
fn list_changes() -> Vec<(BTreeSet<InstanceId>, BTreeSet<InstanceId>)> {
    let all = INSTANCE_NAMES.map(InstanceId::from).into_iter().collect();
    let lists: Vec<_> = subsets(&all)
        .into_iter()
        .filter(|list| !list.is_empty())
        .collect();
    let pairs = lists
        .iter()
        .flat_map(|old| lists.iter().map(move |new| (old.clone(), new.clone())));
    pairs.filter(|(old, new)| old != new).collect()
}

#[test]
fn majorities_intersect_while_hosts_use_the_old_list_and_both_lists() {
    for (old, new) in list_changes() {
        let (old, new) = (with_members(&old), with_members(&new));
        let mut former = FormerMembers::default();
        former.note(ms(0), &old, &new);
        let both = ServiceConfig {
            former_members: former.lists(),
            ..new
        };
        for (fencing, proving) in [(&old, &both), (&both, &old), (&both, &both)] {
            assert_eq!(disjoint_sets(fencing, proving), None);
        }
    }
}

#[test]
fn majorities_of_the_old_and_the_new_list_alone_can_be_disjoint() {
    let list = |names: &[&str]| names.iter().map(|name| InstanceId::from(*name)).collect();
    let old = with_members(&list(&["a", "b", "c"]));
    let new = with_members(&list(&["a", "b", "c", "d"]));
    let found = disjoint_sets(&old, &new).expect("a b is a majority that does not intersect c d");
    println!("{found}");
    let disjoint = list_changes().into_iter().filter(|(old, new)| {
        let (old, new) = (with_members(old), with_members(new));
        disjoint_sets(&old, &new).is_some() || disjoint_sets(&new, &old).is_some()
    });
    assert!(disjoint.count() > 0);
}

#[test]
fn a_former_list_counts_until_it_expires_and_other_changes_add_none() {
    let old = config();
    let mut new = config();
    new.instances.remove("c");
    let mut former = FormerMembers::default();
    let other = ServiceConfig {
        slots: 9,
        ..config()
    };
    former.note(ms(0), &old, &other);
    assert!(former.lists().is_empty());
    former.note(ms(0), &old, &new);
    former.note(ms(1000), &new, &old);
    assert_eq!(former.lists().len(), 2);
    assert!(!former.expire(ms(59_999)));
    assert!(former.expire(ms(60_000)));
    assert_eq!(former.lists().len(), 1);
}

/// Returns whether a host that can't reach `a` and `b` starts to replace the primary `a` after the
/// instances `a b c` were changed to `a c d e`.
fn starts_failover(former_members: Vec<BTreeSet<InstanceId>>) -> bool {
    let names = ["a", "c", "d", "e"].map(InstanceId::from);
    let config = ServiceConfig {
        former_members,
        ..with_members(&names.into_iter().collect())
    };
    let settings = FailoverSettings::default();
    let mut failover = Failover::new(settings, &config, "h1".into(), "delta".into(), 7);
    let mut actions = Vec::new();
    failover.on_event(
        ms(0),
        FailoverEvent::Announced {
            term: 1,
            primary: "a".into(),
        },
    );
    for at_ms in (100..=1500).step_by(100) {
        let now = ms(at_ms);
        let replicas =
            ["c", "d", "e"].map(|name| (name, Some(status(name, "replica", 1, 9, "1:0"))));
        for (name, answer) in [("a", None)].into_iter().chain(replicas) {
            let probed = FailoverEvent::Probed {
                instance: name.into(),
                sent_at: now,
                status: answer,
            };
            actions.extend(failover.on_event(now, probed));
        }
        let suspicion = FailoverEvent::SuspicionReceived {
            host: "h2".into(),
            domain: "gulf".into(),
            term: 1,
        };
        actions.extend(failover.on_event(now, suspicion));
    }
    actions
        .iter()
        .any(|action| matches!(action, FailoverAction::Record { .. }))
}

#[test]
fn a_failover_needs_a_majority_of_the_former_list_too() {
    let former = ["a", "b", "c"].map(InstanceId::from).into_iter().collect();
    assert!(
        !starts_failover(vec![former]),
        "a and b may have another primary"
    );
    assert!(starts_failover(Vec::new()));
}
