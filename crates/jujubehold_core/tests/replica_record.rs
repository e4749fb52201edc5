//! Tests the record of the instances that may have confirmed commits.

use std::collections::BTreeSet;

use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use jujubehold_core::replica_record::ReplicaRecord;

fn instances(ids: &[&str]) -> BTreeSet<InstanceId> {
    ids.iter().map(|id| InstanceId::from(*id)).collect()
}

// Guards against forgetting an instance because it is no longer listed.
#[test]
fn an_instance_stays_recorded_when_it_is_no_longer_listed() {
    let record = ReplicaRecord::default().extended(3, &instances(&["a", "b"]));
    let record = record.extended(3, &instances(&["a", "c"]));
    assert_eq!(record.instances, instances(&["a", "b", "c"]));
    let missing = record.missing_from(&instances(&["a", "c"]));
    assert_eq!(missing, instances(&["b"]));
}

// Guards against relying on a term's start in a term that an earlier version began without recording.
#[test]
fn the_start_of_a_term_is_that_of_no_other() {
    let start = LogPosition {
        term: 2,
        position: 9,
    };
    let record = ReplicaRecord {
        term: 3,
        start: Some(start),
        ..ReplicaRecord::default()
    };
    assert_eq!(record.start_of(3), Some(start));
    assert_eq!(record.start_of(0), Some(start));
    assert_eq!(record.start_of(4), None);
    assert_eq!(record.extended(3, &instances(&["a"])).start, Some(start));
    assert_eq!(record.extended(4, &instances(&["a"])).start, None);
}
