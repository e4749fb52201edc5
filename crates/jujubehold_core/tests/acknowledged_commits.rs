//! Tests up to which position commits can have been acknowledged.

use std::collections::BTreeMap;
use std::time::Duration;

use jujubehold_core::acknowledged_commits::{AcknowledgedCommits, AcknowledgementEvidence};
use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use jujubehold_core::primary_positions::PrimaryPositions;

const TERM: Term = 3;

fn at(position: Position) -> LogPosition {
    LogPosition {
        term: TERM,
        position,
    }
}

fn statements(rows: &[(&str, Nonce, Position)]) -> BTreeMap<HostId, AcknowledgedCommits> {
    rows.iter()
        .map(|(host, process, position)| {
            let commits = AcknowledgedCommits {
                process: *process,
                newest: at(*position),
            };
            ((*host).into(), commits)
        })
        .collect()
}

fn bound(
    statements: &BTreeMap<HostId, AcknowledgedCommits>,
    unknown_until: Option<Monotonic>,
    positions: &PrimaryPositions,
) -> Option<LogPosition> {
    let evidence = AcknowledgementEvidence {
        processes: [("h1".into(), 1), ("h2".into(), 2)].into(),
        statements,
        unknown_until,
        positions,
        term: TERM,
    };
    evidence.bound()
}

// Guards against a bound that lacks what a silent host, or an earlier process of a host, acknowledged.
#[test]
fn every_process_has_to_state_what_it_acknowledged() {
    let positions = PrimaryPositions::default();
    let all = statements(&[("h1", 1, 7), ("h2", 2, 9)]);
    assert_eq!(bound(&all, None, &positions), Some(at(9)));
    let silent = statements(&[("h1", 1, 7)]);
    assert_eq!(bound(&silent, None, &positions), None);
    let restarted = statements(&[("h1", 1, 7), ("h2", 5, 0)]);
    assert_eq!(bound(&restarted, None, &positions), None);
}

// Guards against ignoring processes that ended, which may have acknowledged more than the others.
#[test]
fn what_ended_processes_acknowledged_is_bounded_by_a_later_position() {
    let second = Duration::from_secs;
    let all = statements(&[("h1", 1, 7), ("h2", 2, 9)]);
    let mut positions = PrimaryPositions::default();
    positions.add(TERM, second(10), 20);
    positions.add(TERM, second(12), 30);
    positions.add(TERM, second(14), 40);
    assert_eq!(bound(&all, Some(second(11)), &positions), Some(at(30)));
    assert_eq!(bound(&all, Some(second(15)), &positions), None);
    let mut earlier = PrimaryPositions::default();
    earlier.add(TERM - 1, second(14), 40);
    assert_eq!(bound(&all, Some(second(11)), &earlier), None);
}
