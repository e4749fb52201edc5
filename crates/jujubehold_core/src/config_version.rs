//! The order of a service's configurations.

use std::cmp::Ordering;

use crate::ids::Generation;
use crate::ownership::weight;
use crate::value_type;

value_type! {
    /// The version of a service's configuration, which hosts compare to find out which of them has
    /// the newer one.
    ///
    /// Of two texts of one generation the one with the greater digest counts as newer, so that all
    /// hosts and the platform's key-value service converge on the same text, whichever they saw
    /// first. See docs/notes/configuration-revisions.md.
    #[derive(Copy, Default)]
    pub struct ConfigVersion {
        /// The generation of the configuration.
        pub generation: Generation,
        /// The digest of the text; 0 when the sender did not give one.
        pub digest: u64,
    }
}

impl ConfigVersion {
    /// Returns the version of a configuration with this generation and text.
    pub fn of(generation: Generation, text: &str) -> Self {
        let digest = weight("configuration", text).max(1);
        Self { generation, digest }
    }

    /// Compares two versions; an unknown digest is equal to any other.
    pub fn order(&self, other: &Self) -> Ordering {
        let by_generation = self.generation.cmp(&other.generation);
        if self.digest == 0 || other.digest == 0 {
            return by_generation;
        }
        by_generation.then(self.digest.cmp(&other.digest))
    }
}
