//! The order of a service's configurations.

use std::cmp::Ordering;

use crate::ids::Generation;
use crate::ownership::weight;
use crate::value_type;

value_type! {
    /// What two hosts compare to find who has the newer configuration of a service.
    ///
    /// Of two texts of one generation the one with the greater digest counts as the newer one, so
    /// that all hosts and the platform's service come to the same whichever they saw first. See
    /// docs/notes/configuration-revisions.md.
    #[derive(Copy, Default)]
    pub struct ConfigVersion {
        /// The generation.
        pub generation: Generation,
        /// The digest of the text; 0 when it is not stated.
        pub digest: u64,
    }
}

impl ConfigVersion {
    /// The version of a text of a generation.
    pub fn of(generation: Generation, text: &str) -> Self {
        let digest = weight("configuration", text).max(1);
        Self { generation, digest }
    }

    /// How this version stands to another one; a digest that is not stated is equal to any.
    pub fn order(&self, other: &Self) -> Ordering {
        let by_generation = self.generation.cmp(&other.generation);
        if self.digest == 0 || other.digest == 0 {
            return by_generation;
        }
        by_generation.then(self.digest.cmp(&other.digest))
    }
}
