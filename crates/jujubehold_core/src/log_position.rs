//! A position in a group's replication log, with the term in which it was written.

use std::fmt;

use crate::ids::{Position, Term};
use crate::key_type;

key_type! {
    /// A position in a group's replication log. Every position of a later term comes after all
    /// positions of an earlier one.
    pub struct LogPosition {
        /// The term of the primary that wrote it.
        pub term: Term,
        /// The number of commits up to and including it.
        pub position: Position,
    }
}

impl LogPosition {
    /// The position of an empty log, before every commit.
    pub const START: Self = Self {
        term: 0,
        position: 0,
    };
    /// A position after every commit.
    pub const END: Self = Self {
        term: Term::MAX,
        position: Position::MAX,
    };
}

impl fmt::Display for LogPosition {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.term, self.position)
    }
}
