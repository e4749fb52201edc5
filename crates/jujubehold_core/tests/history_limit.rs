//! Tests when a host reads the current state instead of all changes.

use jujubehold_core::history_limit::HistoryLimit;

/// A configuration of 90 databases and 24 instances.
const STATE_BYTES: u64 = 34_000;

// 27 versions of the configuration were written while a host was cut off from the store.
#[test]
fn the_changes_of_a_long_outage_are_not_worth_receiving() {
    let limit = HistoryLimit::default();
    assert!(limit.is_exceeded(675_000, STATE_BYTES));
}

#[test]
fn the_changes_of_some_seconds_are_received() {
    let limit = HistoryLimit::default();
    assert!(!limit.is_exceeded(60_000, STATE_BYTES));
}

#[test]
fn one_new_version_of_a_large_configuration_is_received() {
    let limit = HistoryLimit::default();
    assert!(!limit.is_exceeded(800_000, 760_000));
    assert!(limit.is_exceeded(3 * 760_000, 760_000));
}

#[test]
fn small_changes_are_received_whatever_the_state_was() {
    let limit = HistoryLimit::default();
    assert!(!limit.is_exceeded(limit.min_bytes, 0));
    assert!(limit.is_exceeded(u64::MAX, u64::MAX / 3));
}
