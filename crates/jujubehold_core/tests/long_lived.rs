//! The record of the processes that have run for long.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubehold_core::long_lived::ListedProcesses;
use jujubehold_core::prelude::*;

const MIN_AGE: Duration = Duration::from_secs(9);

fn at(second: u64) -> Monotonic {
    Duration::from_secs(second)
}

fn list(processes: &mut ListedProcesses, second: u64, listed: &[(&str, Nonce)]) {
    let listed = listed
        .iter()
        .map(|(host, process)| ((*host).into(), *process));
    processes.note_listed(at(second), listed);
}

// The load: the leases of all hosts end while the store is away. Guards against a process that counts
// as a new one because it was listed again.
#[test]
fn a_process_that_is_listed_again_keeps_its_age() {
    let mut processes = ListedProcesses::default();
    list(&mut processes, 0, &[("a", 1)]);
    list(&mut processes, 5, &[]);
    list(&mut processes, 9, &[("a", 1)]);
    let record = processes.record(at(9), MIN_AGE, &BTreeMap::new());
    assert_eq!(record, Some(BTreeMap::from([("a".into(), 1)])));
}

// Guards against a credit for a host whose earlier process ran for a short time only.
#[test]
fn a_restarted_process_is_recorded_when_it_has_run_for_long_itself() {
    let mut processes = ListedProcesses::default();
    list(&mut processes, 0, &[("a", 1), ("b", 7)]);
    list(&mut processes, 8, &[("a", 2), ("b", 7)]);
    list(&mut processes, 12, &[("a", 2), ("b", 7)]);
    let known = processes.record(at(12), MIN_AGE, &BTreeMap::new());
    let known = known.expect("b has run for long");
    assert_eq!(known, BTreeMap::from([("b".into(), 7)]));
    list(&mut processes, 17, &[("a", 2), ("b", 7)]);
    let record = processes.record(at(17), MIN_AGE, &known);
    assert_eq!(record.map(|record| record.len()), Some(2));
}

// The load: hosts that are restarted in turn. Guards against a store call for each of them.
#[test]
fn records_are_spaced_out() {
    let mut processes = ListedProcesses::default();
    list(&mut processes, 0, &[("a", 1)]);
    list(&mut processes, 1, &[("a", 1), ("b", 1)]);
    list(&mut processes, 9, &[("a", 1), ("b", 1)]);
    let known = processes.record(at(9), MIN_AGE, &BTreeMap::new());
    let known = known.expect("a has run for long");
    list(&mut processes, 10, &[("a", 1), ("b", 1)]);
    assert_eq!(processes.record(at(10), MIN_AGE, &known), None);
    assert!(processes.record(at(14), MIN_AGE, &known).is_some());
}
