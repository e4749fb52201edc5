//! Tests that a quiet group needs few probes, and that a failure is detected as soon as with many.

#[path = "probe_sharing/watched_group.rs"]
mod watched_group;

use watched_group::{Fault, WATCHER_COUNT, WatchedGroup};

/// When a fault starts, after the first probes, in milliseconds.
const FAULT_START_MS: u64 = 20_000;
/// Offsets at which faults start. The first six lie between two probes of the first watcher, all of
/// them between two probes of another one.
const FAULT_OFFSETS_MS: [u64; 14] = [
    0, 30, 70, 110, 150, 190, 400, 700, 1000, 1300, 1600, 2000, 2400, 2800,
];

/// Returns how long after `fault` the first attempt starts in the worst case, in milliseconds.
fn worst_detection_ms(fault: Fault, silent: Option<usize>) -> u64 {
    worst_detection_of(WatchedGroup::new, fault, silent)
}

fn worst_detection_of(start: fn() -> WatchedGroup, fault: Fault, silent: Option<usize>) -> u64 {
    FAULT_OFFSETS_MS
        .into_iter()
        .map(|phase_ms| {
            let mut group = start();
            group.run_until(FAULT_START_MS + phase_ms);
            assert_eq!(group.attempt_at_ms, None, "nothing failed yet");
            group.silent = silent;
            group.fault = Some(fault);
            group.run_until(FAULT_START_MS + 12_000);
            let found_at_ms = group.attempt_at_ms.expect("the failure is found");
            found_at_ms - FAULT_START_MS - phase_ms
        })
        .max()
        .unwrap_or_default()
}

#[test]
fn a_quiet_group_gets_few_probes() {
    let mut group = WatchedGroup::new();
    group.run_until(FAULT_START_MS);
    group.probes = 0;
    group.run_until(FAULT_START_MS + 60_000);
    // The first watcher sends five a second to the primary, and the others send few. With every
    // watcher probing every instance, it would be 42 a second.
    assert!((5 * 60..8 * 60).contains(&group.probes), "{}", group.probes);
    assert_eq!(group.attempt_at_ms, None);
}

#[test]
fn a_group_in_use_is_sampled_each_second_by_whoever_uses_it() {
    let mut group = WatchedGroup::new();
    group.users.insert(WATCHER_COUNT - 1);
    group.run_until(FAULT_START_MS);
    group.last_watcher_probes = 0;
    group.run_until(FAULT_START_MS + 10_000);
    // Five probes of the primary and one of each replica per second.
    assert!(
        (60..=75).contains(&group.last_watcher_probes),
        "{}",
        group.last_watcher_probes
    );
}

#[test]
fn a_crash_is_found_within_a_second() {
    assert!(worst_detection_ms(Fault::Crash, None) < 1000);
}

#[test]
fn a_freeze_is_found_in_little_more_than_a_second() {
    assert!(worst_detection_ms(Fault::Freeze, None) < 1300);
}

#[test]
fn a_failure_of_a_quiet_group_is_found_little_later_than_of_one_in_use() {
    // If every watcher has traffic, all of them probe every instance.
    let in_use = || {
        let mut group = WatchedGroup::new();
        group.users.extend(0..WATCHER_COUNT);
        group
    };
    for fault in [Fault::Crash, Fault::Freeze] {
        let used_ms = worst_detection_of(in_use, fault, None);
        let quiet_ms = worst_detection_ms(fault, None);
        println!("{fault:?}: {used_ms} ms in use, {quiet_ms} ms quiet");
        assert!(quiet_ms < used_ms + 250, "{fault:?}: {quiet_ms} ms");
    }
    for fault in [Fault::Crash, Fault::Freeze] {
        let alone_ms = worst_detection_ms(fault, Some(0));
        println!("{fault:?}: {alone_ms} ms quiet without the first watcher");
    }
}

#[test]
fn the_others_find_a_crash_when_the_first_watcher_is_gone_too() {
    assert!(worst_detection_ms(Fault::Crash, Some(0)) < 4000);
    assert!(worst_detection_ms(Fault::Freeze, Some(0)) < 5000);
}

#[test]
fn a_first_watcher_that_is_cut_off_from_the_primary_replaces_nothing() {
    let mut group = WatchedGroup::new();
    group.run_until(FAULT_START_MS);
    group.fault = Some(Fault::CutOff { watcher: 0 });
    group.run_until(FAULT_START_MS + 20_000);
    assert_eq!(group.attempt_at_ms, None);
}

#[test]
fn two_watchers_of_one_domain_that_are_cut_off_replace_nothing() {
    let mut group = WatchedGroup::new();
    group.run_until(FAULT_START_MS);
    group.fault = Some(Fault::DomainCutOff { domain: 0 });
    group.run_until(FAULT_START_MS + 20_000);
    assert_eq!(group.attempt_at_ms, None);
}

#[test]
fn a_short_break_replaces_nothing() {
    for length_ms in [50, 200, 400] {
        let mut group = WatchedGroup::new();
        group.run_until(FAULT_START_MS);
        group.fault = Some(Fault::Crash);
        group.run_until(FAULT_START_MS + length_ms);
        group.fault = None;
        group.run_until(FAULT_START_MS + 10_000);
        assert_eq!(group.attempt_at_ms, None, "{length_ms} ms");
    }
}
