//! Tests which hosts probe the primaries.

use std::collections::BTreeSet;
use std::time::Duration;

use jujubehold_core::ids::{HostId, Monotonic};
use jujubehold_core::primary_watchers::{PRIMARY_WATCHERS, WatcherTerm, primary_watchers};

fn ms(time_ms: u64) -> Monotonic {
    Duration::from_millis(time_ms)
}

fn host(number: usize) -> HostId {
    HostId::from(format!("host-{number:03}").as_str())
}

// 300 hosts that join within 5 s. Each host that probes opens a connection to all of 178 primaries.
#[test]
fn few_hosts_probe_the_primaries_while_hundreds_of_hosts_start() {
    let joining: Vec<_> = (0..300).map(|index| host(index * 79 % 300)).collect();
    let mut terms = vec![WatcherTerm::default(); joining.len()];
    let mut probing = BTreeSet::new();
    for step in 1..=100 {
        let now = ms(step * 100);
        let listed = usize::try_from(step * 6).map_or(joining.len(), |it| it.min(joining.len()));
        let watchers = primary_watchers(&joining[..listed]);
        // No primary is on record before some hosts have joined.
        for (index, name) in joining[..listed].iter().enumerate() {
            terms[index].note(now, watchers.contains(name));
            if listed > PRIMARY_WATCHERS && terms[index].probes_primaries(now, listed) {
                probing.insert(name.clone());
            }
        }
    }
    assert!(probing.is_superset(&primary_watchers(&joining).into_iter().collect()));
    assert!(probing.len() <= 2 * PRIMARY_WATCHERS, "{}", probing.len());
}

#[test]
fn every_host_of_a_small_deployment_probes_at_once() {
    let mut term = WatcherTerm::default();
    assert!(!term.probes_primaries(ms(100), 9));
    term.note(ms(100), true);
    assert!(term.probes_primaries(ms(100), 9));
}

#[test]
fn a_host_that_is_no_longer_a_watcher_does_not_probe() {
    let mut term = WatcherTerm::default();
    term.note(ms(100), true);
    assert!(term.probes_primaries(ms(9_000), 86));
    term.note(ms(9_000), false);
    assert!(!term.probes_primaries(ms(9_000), 86));
}
