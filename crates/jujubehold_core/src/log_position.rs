//! A place in a group's replication log, with the term that wrote it.

use std::fmt;

use crate::ids::{Position, Term};
use crate::key_type;

key_type! {
    /// A place in a group's replication log. Places of a later term come after all of an earlier
    /// one.
    pub struct LogPosition {
        /// The term of the primary that wrote it.
        pub term: Term,
        /// The count of commits before and at it.
        pub position: Position,
    }
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.position)
    }
}
