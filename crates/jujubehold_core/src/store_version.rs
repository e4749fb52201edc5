//! Points in the history of the platform's store.
//!
//! A store that is restored from a copy goes back to the copy's revision and gives out the revisions
//! of the lost changes again. It states an era that rises with each restore, so that an era and a
//! revision together order all that the store ever held. See docs/notes/store-restore.md.

use crate::key_type;

/// The store's revision of a value; 0 before the first one.
pub type Revision = u64;

/// A number that rises each time that the store is restored from a copy; 0 if the store states none.
/// A restored store gives out revisions again, so that those of two eras can't be compared.
pub type StoreEra = u64;

/// How many bits of a fencing token hold the revision.
const TOKEN_REVISION_BITS: u32 = 40;

key_type! {
    /// A revision of the store in one era. Every revision of a later era comes after all revisions
    /// of an earlier one.
    #[derive(Default)]
    pub struct StoreVersion {
        /// The store's era.
        pub era: StoreEra,
        /// The store's revision.
        pub revision: Revision,
    }
}

impl StoreVersion {
    /// Returns the fencing token of a duty that was taken at this point.
    ///
    /// The revision alone would fall with a restore, and nobody may be left who knows the tokens that
    /// were used before it. In the first era the token is the revision itself, as in versions that
    /// do not know eras.
    pub fn fencing_token(self) -> u64 {
        let restores = self.era.saturating_sub(1);
        (restores << TOKEN_REVISION_BITS).saturating_add(self.revision)
    }
}
