//! The least position that a session's reads may see.

use crate::ids::{Position, ServiceId, Term};
use crate::instance_status::InstanceStatus;
use crate::value_type;

value_type! {
    /// The position of a session's last write, in the history of the term that took it.
    ///
    /// See docs/notes/session-floor.md.
    pub struct Floor {
        /// The service that took the write.
        pub service: ServiceId,
        /// The term in which it was committed.
        pub term: Term,
        /// Its position in the group's log.
        pub position: Position,
    }
}

crate::key_type! {
    /// How an instance stands to a floor.
    pub enum FloorCheck {
        /// The instance has applied the floor's write.
        Reached,
        /// The instance may reach the floor later.
        Behind,
        /// The floor's write is not part of the instance's history.
        Cut,
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
            FloorCheck::Cut
        } else {
            FloorCheck::Behind
        }
    }

    /// Raises the floor to a later write of the same service.
    pub fn raise(&mut self, term: Term, position: Position) {
        if (term, position) > (self.term, self.position) {
            self.term = term;
            self.position = position;
        }
    }
}
