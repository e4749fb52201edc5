//! Tests when a host records the first primaries.

use std::time::Duration;

use jujubehold_core::first_records::FirstRecords;
use jujubehold_core::ids::Monotonic;

fn ms(time_ms: u64) -> Monotonic {
    Duration::from_millis(time_ms)
}

#[test]
fn the_first_host_acts_at_once_and_the_next_one_after_its_delay() {
    let mut records = FirstRecords::default();
    assert!(!records.is_due(ms(1_000), ms(0)));
    records.note(ms(1_000), true, 0);
    assert!(records.is_due(ms(1_000), ms(0)));
    records.note(ms(1_100), true, 0);
    assert!(!records.is_due(ms(1_100), ms(150)));
    assert!(records.is_due(ms(1_150), ms(150)));
}

// 178 services are recorded with three changes, 200 ms apart.
#[test]
fn a_host_waits_while_another_one_records() {
    let mut records = FirstRecords::default();
    for (now, revision) in [(0, 0), (200, 40), (400, 41), (600, 42)] {
        records.note(ms(now), true, revision);
        records.note(ms(now + 100), true, revision);
        assert!(!records.is_due(ms(now + 149), ms(150)));
    }
    assert!(records.is_due(ms(750), ms(150)));
    records.note(ms(800), false, 42);
    assert!(!records.is_due(ms(60_000), ms(150)));
}
