//! Replays of positions that a host learns from another one.

use std::time::Duration;

use jujubehold_core::log_position::LogPosition;
use jujubehold_core::primary_positions::PrimaryPositions;
use jujubehold_core::read_floor::{Consistency, ReadFloor, read_floor};

const MAX_AGE: Duration = Duration::from_millis(1_500);
const BOUNDED: Consistency = Consistency::BoundedStaleness(MAX_AGE);

const fn ms(milliseconds: u64) -> Duration {
    Duration::from_millis(milliseconds)
}

fn floor_at(positions: &PrimaryPositions, now: Duration) -> ReadFloor {
    read_floor(BOUNDED, positions, None, now)
}

fn at_least(position: u64) -> ReadFloor {
    ReadFloor::AtLeast(LogPosition { term: 1, position })
}

// A host that had just started took a position that was older than its process for one of its start,
// and read data that was seconds older than the bound.
#[test]
fn a_position_from_before_the_start_of_a_host_allows_no_read() {
    let mut positions = PrimaryPositions::default();
    positions.add_reported(1, ms(600), ms(6_000), 10);
    assert_eq!(floor_at(&positions, ms(700)), ReadFloor::NeedsNewerSample);
    // The host's own, newer position decides, also while the clock shows less than the bound.
    positions.add(1, ms(800), 90);
    assert_eq!(floor_at(&positions, ms(900)), at_least(90));
    // At a host that has run for longer, the same answer is an old position, and is not used.
    let mut positions = PrimaryPositions::default();
    positions.add_reported(1, ms(60_600), ms(6_000), 10);
    let floor = floor_at(&positions, ms(60_700));
    assert_eq!(floor, ReadFloor::NeedsNewerSample);
}

#[test]
fn a_position_from_since_the_start_of_a_host_is_used() {
    let mut positions = PrimaryPositions::default();
    positions.add_reported(1, ms(600), ms(300), 10);
    assert_eq!(floor_at(&positions, ms(700)), at_least(10));
}
