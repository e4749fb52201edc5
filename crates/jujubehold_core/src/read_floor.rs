//! The log position that an instance must have applied to serve a read.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::log_position::LogPosition;
use crate::primary_positions::PrimaryPositions;

/// Margin by which a read's data must be newer than the age bound requires, since timers fire late
/// and a replica answers some time after the read began.
const AGE_MARGIN: Duration = Duration::from_millis(20);

crate::key_type! {
    /// The consistency that a database guarantees for reads.
    pub enum Consistency {
        /// Each read sees every commit that was acknowledged before the read.
        Primary,
        /// Each read sees every commit that was acknowledged longer than this before the read.
        BoundedStaleness(Duration),
        /// Like `BoundedStaleness`, and each read also sees all commits of its own session.
        ReadYourWrites(Duration),
    }

    /// The instances that a read may run on.
    pub enum ReadFloor {
        /// Only the primary.
        PrimaryOnly,
        /// The primary, and any replica that has applied the position.
        AtLeast(LogPosition),
        /// The primary; before a replica can serve the read, this host must learn a newer position
        /// of the primary.
        NeedsNewerSample,
    }
}

/// Computes the floor of a read or a transaction that began at `began_at`.
///
/// `session_floor` is the position of the session's own last commit. A floor from a term before
/// that of `primary_positions` is ignored: those of its commits that survived the change of primary
/// lie before every later position.
pub fn read_floor(
    consistency: Consistency,
    primary_positions: &PrimaryPositions,
    session_floor: Option<LogPosition>,
    began_at: Monotonic,
) -> ReadFloor {
    let (max_age, own_floor) = match consistency {
        Consistency::Primary => return ReadFloor::PrimaryOnly,
        Consistency::BoundedStaleness(max_age) => (max_age, None),
        Consistency::ReadYourWrites(max_age) => (max_age, session_floor),
    };
    let term = primary_positions.term();
    let oldest = (began_at + AGE_MARGIN).saturating_sub(max_age);
    let Some((position, _)) = primary_positions.complete_as_of(term, oldest) else {
        return ReadFloor::NeedsNewerSample;
    };
    let age_floor = LogPosition { term, position };
    let own_floor = own_floor.filter(|floor| floor.term >= term);
    ReadFloor::AtLeast(own_floor.map_or(age_floor, |own_floor| own_floor.max(age_floor)))
}

impl Consistency {
    /// Returns how old the data of a read may be, or `None` if it must be current.
    pub fn max_age(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::BoundedStaleness(age) | Self::ReadYourWrites(age) => Some(age),
        }
    }
}
