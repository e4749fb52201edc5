//! Tests of which services a host asks the replicas for evidence.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubehold_core::evidence_schedule::{EvidenceSchedule, EvidenceSettings};
use jujubehold_core::ids::{Monotonic, ServiceId};

type Services = BTreeMap<ServiceId, Option<Monotonic>>;

fn ms(time_ms: u64) -> Monotonic {
    Duration::from_millis(time_ms)
}

fn services(count: usize, used: usize) -> Services {
    let names = (0..count).map(|number| format!("s{number:03}"));
    let ids = names.map(|name| ServiceId::from(name.as_str()));
    let used_at = |number| (number < used).then_some(ms(10_000));
    ids.enumerate()
        .map(|(number, service)| (service, used_at(number)))
        .collect()
}

// Returns how often each service is asked for from 10 s to 16 s.
fn asked(services: &Services) -> BTreeMap<ServiceId, u32> {
    let settings = EvidenceSettings::default();
    let mut schedule = EvidenceSchedule::default();
    let mut counts = BTreeMap::new();
    for step in 0..60 {
        for service in schedule.due(&settings, ms(10_000 + step * 100), services) {
            *counts.entry(service).or_default() += 1;
        }
    }
    counts
}

// 300 hosts before 178 services of which each uses a few: 356 questions every 600 ms from each host.
#[test]
fn a_host_of_a_large_deployment_asks_for_the_services_that_it_uses() {
    let counts = asked(&services(178, 5));
    assert_eq!(counts.len(), 5);
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

#[test]
fn a_host_of_a_small_deployment_asks_for_all_services() {
    let counts = asked(&services(32, 0));
    assert_eq!(counts.len(), 32);
    assert!(counts.values().all(|count| *count == 10), "{counts:?}");
}

// The questions of a host do not grow with the services, and no service is left out.
#[test]
fn a_host_that_uses_all_services_asks_for_them_in_turn() {
    let all = services(178, 178);
    let settings = EvidenceSettings::default();
    let mut schedule = EvidenceSchedule::default();
    let mut seen = BTreeSet::new();
    for interval in 0..3 {
        let mut count = 0;
        for step in 0..6 {
            let now = ms(10_000 + interval * 600 + step * 100);
            let due = schedule.due(&settings, now, &all);
            count += due.len();
            seen.extend(due);
        }
        assert!(count <= 64, "{count}");
    }
    assert_eq!(seen.len(), 178);
}

#[test]
fn a_service_that_was_not_used_for_long_is_not_asked_for() {
    let settings = EvidenceSettings::default();
    let mut schedule = EvidenceSchedule::default();
    let all = services(178, 5);
    assert_eq!(schedule.due(&settings, ms(39_999), &all).len(), 5);
    assert!(schedule.due(&settings, ms(50_000), &all).is_empty());
}
