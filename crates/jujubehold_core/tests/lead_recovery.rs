//! Tests which primary is believed after the platform's store was restored from a copy.

use jujubehold_core::lead_recovery::{InstanceReport, recovered_lead};
use jujubehold_core::lead_table::{Lead, LeadChange, LeadTable};
use jujubehold_core::prelude::*;
use jujubehold_core::store_version::StoreVersion;

fn report(instance: &str, role: Role, term: Term) -> InstanceReport {
    InstanceReport {
        instance: instance.into(),
        role,
        term,
        is_marked: false,
    }
}

fn record(primary: &str, term: Term) -> Lead {
    Lead {
        primary: primary.into(),
        term,
        change: None,
    }
}

fn changing(primary: &str, term: Term, by: &str) -> Lead {
    Lead {
        change: Some(LeadChange {
            by: by.into(),
            is_planned: false,
            awaits_instance: false,
        }),
        ..record(primary, term)
    }
}

fn recovered(records: &[Lead], reports: &[InstanceReport]) -> Option<Lead> {
    recovered_lead(&"h".into(), records, reports)
}

// Guards against believing the restored table, which names the replaced primary.
#[test]
fn the_primary_of_the_newest_term_is_recorded() {
    let reports = [
        report("a", Role::Replica, 2),
        report("b", Role::Primary, 2),
        report("c", Role::Replica, 1),
    ];
    assert_eq!(recovered(&[record("a", 1)], &reports), Some(record("b", 2)));
}

// The old primary has not noticed that it was replaced. Guards against believing its own word.
#[test]
fn a_primary_of_an_earlier_term_is_not_recorded_as_usable() {
    let reports = [report("a", Role::Primary, 1), report("c", Role::Replica, 2)];
    let lead = recovered(&[record("a", 1)], &reports);
    assert_eq!(lead, Some(changing("a", 1, "h")));
}

// Guards against the restored record where this host saw the change.
#[test]
fn a_record_of_a_later_term_wins() {
    let records = [record("b", 2), record("a", 1)];
    let reports = [report("a", Role::Primary, 1)];
    assert_eq!(recovered(&records, &reports), Some(record("b", 2)));
}

// Guards against a promotion that was ordered before the restore and takes effect after it.
#[test]
fn a_primary_with_a_marked_replica_is_replaced() {
    let marked = InstanceReport {
        is_marked: true,
        ..report("b", Role::Replica, 1)
    };
    let reports = [report("a", Role::Primary, 1), marked];
    let lead = recovered(&[record("a", 1)], &reports);
    assert_eq!(lead, Some(changing("a", 1, "h")));
}

// Guards against ending a change that this host knows of and the restored table does not.
#[test]
fn a_known_change_is_taken_over() {
    let records = [changing("a", 1, "other"), record("a", 1)];
    let reports = [report("a", Role::Primary, 1)];
    let lead = recovered(&records, &reports);
    assert_eq!(lead, Some(changing("a", 1, "h")));
    let replaced = [report("a", Role::Replica, 2), report("b", Role::Primary, 2)];
    assert_eq!(recovered(&records, &replaced), Some(record("b", 2)));
}

#[test]
fn a_primary_that_became_a_replica_is_replaced() {
    let reports = [report("a", Role::Replica, 1), report("b", Role::Replica, 1)];
    let lead = recovered(&[record("a", 1)], &reports);
    assert_eq!(lead, Some(changing("a", 1, "h")));
}

// Guards against replacing primaries that only the recording host does not reach.
#[test]
fn a_silent_primary_stays_on_record() {
    let reports = [report("b", Role::Replica, 1)];
    let lead = recovered(&[record("a", 1)], &reports);
    assert_eq!(lead, Some(record("a", 1)));
    assert_eq!(recovered(&[], &[]), None);
}

// Guards against the table of a lost history, whose revisions the restored store gives out again.
#[test]
fn a_table_of_a_later_era_replaces_one_of_a_higher_revision() {
    let table = |era, revision| LeadTable {
        era,
        revision,
        ..LeadTable::default()
    };
    let mut known = table(1, 50);
    assert!(known.adopt(table(2, 7)));
    assert!(!known.adopt(table(1, 51)));
    assert!(known.adopt(table(2, 8)));
}

// Guards against tokens that fall, or that differ from those of versions that know no eras.
#[test]
fn fencing_tokens_rise_with_eras() {
    let token = |era, revision| StoreVersion { era, revision }.fencing_token();
    assert_eq!(token(0, 59), 59);
    assert_eq!(token(1, 59), 59);
    assert!(token(2, 1) > token(1, 1_000_000_000));
    assert!(token(3, 1) > token(2, 1_000_000_000));
}
