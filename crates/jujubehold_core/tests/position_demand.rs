//! Tests which positions a host keeps fresh.

use std::time::Duration;

use jujubehold_core::ids::Monotonic;
use jujubehold_core::position_demand::{PositionDemand, PositionDemandSettings};

fn ms(time_ms: u64) -> Monotonic {
    Duration::from_millis(time_ms)
}

fn is_due(is_watcher: bool, has_source: bool, wanted_at: Option<u64>) -> bool {
    let demand = PositionDemand {
        is_watcher,
        has_source,
        wanted_at: wanted_at.map(ms),
    };
    demand.is_due(&PositionDemandSettings::default(), ms(60_000), ms(5_000))
}

// 100 hosts of which many got no answer from the host that reads for them asked 178 primaries each,
// over connections that were opened for it.
#[test]
fn a_host_without_a_source_asks_no_primary_that_it_has_no_use_for() {
    assert!(!is_due(false, false, None));
    assert!(!is_due(false, false, Some(1_000)));
    assert!(is_due(false, false, Some(59_000)));
}

#[test]
fn a_watcher_asks_always_and_a_host_with_a_source_never() {
    assert!(is_due(true, true, None));
    assert!(!is_due(false, true, Some(59_000)));
}

#[test]
fn a_fresh_position_is_not_asked_for() {
    let demand = PositionDemand {
        is_watcher: true,
        has_source: false,
        wanted_at: Some(ms(60_000)),
    };
    let settings = PositionDemandSettings::default();
    assert!(!demand.is_due(&settings, ms(60_000), settings.max_position_age));
}

// 295 hosts start before 20 services: the first read of each host finds the position.
#[test]
fn a_question_asks_for_all_positions_of_few_services() {
    let settings = PositionDemandSettings::default();
    assert!(!settings.names_services(20));
    assert!(settings.names_services(178));
}

// 178 services, of which callers of this host read three in the last half minute.
#[test]
fn a_question_names_the_services_that_callers_read_lately() {
    let settings = PositionDemandSettings::default();
    let asked = (0..178_u64).filter(|service| {
        let demand = PositionDemand {
            is_watcher: false,
            has_source: true,
            wanted_at: (*service < 5).then(|| ms(20_000 + service * 5_000)),
        };
        demand.is_asked_for(&settings, ms(60_000))
    });
    assert_eq!(asked.collect::<Vec<_>>(), [3, 4]);
}
