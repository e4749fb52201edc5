//! The lowest log position that a session's reads may see.

use crate::ids::{Position, ServiceId, Term};
use crate::instance_status::InstanceStatus;
use crate::value_type;

value_type! {
    /// The log position of a session's last write, and the term that committed it.
    ///
    /// See docs/notes/session-floor.md.
    pub struct Floor {
        /// The service that ran the write.
        pub service: ServiceId,
        /// The term in which the write was committed.
        pub term: Term,
        /// The write's position in the group's log.
        pub position: Position,
    }
}

crate::key_type! {
    /// The result of comparing an instance's status with a floor.
    pub enum FloorCheck {
        /// The instance has applied the floor's write.
        Reached,
        /// The instance has not applied the floor's write, but may do so later.
        Behind,
        /// The floor's write is not part of the instance's history.
        Lost,
    }
}

impl Floor {
    /// Compares the floor with what an instance has applied.
    pub fn check(&self, status: &InstanceStatus) -> FloorCheck {
        if status.history.contains(self.term, self.position) {
            if status.applied >= self.position {
                FloorCheck::Reached
            } else {
                FloorCheck::Behind
            }
        } else if status.history.last_term() > self.term {
            FloorCheck::Lost
        } else {
            FloorCheck::Behind
        }
    }

    /// Raises the floor to a write of the same service, if that is later.
    pub fn raise(&mut self, term: Term, position: Position) {
        if (term, position) > (self.term, self.position) {
            self.term = term;
            self.position = position;
        }
    }
}
