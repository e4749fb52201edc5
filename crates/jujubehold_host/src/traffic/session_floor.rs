//! The session's floor (the log position and term of its last write), and the token that represents
//! it.

use jujubehold_core::prelude::*;
use jujubehold_core::session_floor::FloorKnowledge;
use jujubehold_core::session_token::sign_token;

use super::session::Session;

impl Session {
    /// Returns the session's floor as a token; empty if it has none.
    pub(crate) fn token(&self) -> String {
        match &self.floor {
            FloorKnowledge::Floor(floor) => self.sign(floor),
            FloorKnowledge::NoWrites
            | FloorKnowledge::Unknown
            | FloorKnowledge::UnknownBefore(_) => String::new(),
        }
    }

    /// Returns the token that the session has once its floor is raised.
    pub(crate) fn token_raised_to(&self, term: Term, position: Position) -> String {
        self.sign(&self.floor_raised_to(term, position))
    }

    /// Raises the session's floor.
    pub(crate) fn raise_floor(&mut self, term: Term, position: Position) {
        self.floor = FloorKnowledge::Floor(self.floor_raised_to(term, position));
    }

    fn floor_raised_to(&self, term: Term, position: Position) -> Floor {
        let mut floor = match &self.floor {
            FloorKnowledge::Floor(floor) => floor.clone(),
            FloorKnowledge::NoWrites
            | FloorKnowledge::Unknown
            | FloorKnowledge::UnknownBefore(_) => Floor {
                service: self.service.clone(),
                term,
                position,
            },
        };
        floor.raise(term, position);
        floor
    }

    fn sign(&self, floor: &Floor) -> String {
        sign_token(self.shared.settings.token_key.as_bytes(), floor)
    }
}
