//! What a read must be able to see.

use std::time::Duration;

use crate::ids::Monotonic;
use crate::log_position::LogPosition;
use crate::primary_positions::PrimaryPositions;

/// What is added to the age bound, since timers fire late and a replica answers a little later.
const AGE_MARGIN: Duration = Duration::from_millis(20);

crate::key_type! {
    /// What a database promises to its readers.
    pub enum Consistency {
        /// Each read sees every commit that was acknowledged before it.
        Primary,
        /// Each read sees what was acknowledged longer than this before it.
        BoundedStaleness(Duration),
        /// The same, and all of its session's own commits.
        ReadYourWrites(Duration),
    }

    /// Where a read may run.
    pub enum ReadFloor {
        /// Only at the primary.
        PrimaryOnly,
        /// At the primary, and at any replica that has the position.
        AtLeast(LogPosition),
        /// At the primary; a replica needs a newer position of the primary to be told first.
        NeedsMark,
    }
}

/// The floor of a read or of a transaction that began at `began_at`.
///
/// `session_floor` is the session's own last commit. A floor of a term before that of the marks
/// says nothing: what of it survived the change of primary lies before every later position.
pub fn read_floor(
    consistency: Consistency,
    marks: &PrimaryPositions,
    session_floor: Option<LogPosition>,
    began_at: Monotonic,
) -> ReadFloor {
    let (max_age, own) = match consistency {
        Consistency::Primary => return ReadFloor::PrimaryOnly,
        Consistency::BoundedStaleness(max_age) => (max_age, None),
        Consistency::ReadYourWrites(max_age) => (max_age, session_floor),
    };
    let term = marks.term();
    let oldest = (began_at + AGE_MARGIN).saturating_sub(max_age);
    let Some((position, _)) = marks.complete_as_of(term, oldest) else {
        return ReadFloor::NeedsMark;
    };
    let bound = LogPosition { term, position };
    let own = own.filter(|floor| floor.term >= term);
    ReadFloor::AtLeast(own.map_or(bound, |own| own.max(bound)))
}

impl Consistency {
    /// The age that reads may have; `None` where they may have none.
    pub fn max_age(self) -> Option<Duration> {
        match self {
            Self::Primary => None,
            Self::BoundedStaleness(age) | Self::ReadYourWrites(age) => Some(age),
        }
    }
}
