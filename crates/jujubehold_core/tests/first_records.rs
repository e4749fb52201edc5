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
    assert!(!records.is_due(ms(1_000), 0, ms(0)));
    records.note(ms(1_000), true, 0);
    assert!(records.is_due(ms(1_000), 0, ms(0)));
    records.note(ms(1_100), true, 0);
    assert!(!records.is_due(ms(1_100), 1, ms(150)));
    assert!(records.is_due(ms(1_150), 1, ms(150)));
}

// 178 services are recorded with three changes, 200 ms apart.
#[test]
fn a_host_waits_while_another_one_records() {
    let mut records = FirstRecords::default();
    for (now, revision) in [(0, 0), (200, 40), (400, 41), (600, 42)] {
        records.note(ms(now), true, revision);
        records.note(ms(now + 100), true, revision);
        assert!(!records.is_due(ms(now + 149), 1, ms(150)));
    }
    assert!(records.is_due(ms(750), 1, ms(150)));
    records.note(ms(800), false, 42);
    assert!(!records.is_due(ms(60_000), 1, ms(150)));
}

// A store that takes no change, before 300 hosts that know 178 services without a record. Every host
// asked the same primaries for their terms, without a pause.
#[test]
fn few_hosts_ask_the_primaries_while_no_record_can_be_made() {
    let mut asking_hosts = 0;
    for rank in 0..300 {
        let delay = ms(150) * u32::try_from(rank).expect("few hosts");
        let mut records = FirstRecords::default();
        let mut attempts = 0;
        for step in 0..600 {
            let now = ms(step * 100);
            records.note(now, true, 0);
            if records.is_due(now, rank, delay) {
                records.note_attempt(now);
                attempts += 1;
            }
        }
        asking_hosts += u32::from(attempts > 0);
        assert!(attempts <= 60, "{attempts} in a minute");
    }
    assert!(asking_hosts <= 9, "{asking_hosts}");
}

// A deployment that starts is recorded by one change after another.
#[test]
fn a_host_whose_change_succeeded_goes_on_at_once() {
    let mut records = FirstRecords::default();
    records.note(ms(0), true, 0);
    records.note_attempt(ms(0));
    assert!(!records.is_due(ms(100), 0, ms(0)));
    records.note(ms(200), true, 40);
    assert!(records.is_due(ms(200), 0, ms(0)));
}
