//! Reads and writes the table of leads.

use bytes::Bytes;
use jujubehold_core::lead_table::LeadTable;
use jujubehold_core::store_version::{Revision, StoreVersion};
use log::debug;
use smol_str::SmolStr;

use super::lead_document::{format_era, format_leads, parse_leads};
use super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, call_with_timeout};
use super::{LEAD_ERA_KEY, LEAD_KEY};
use crate::prelude::*;
use crate::protocol::{CommitOutcome, Store, StoreChange, StoreError, StoreItem};

/// A write of another key together with the table.
#[derive(Debug)]
pub(crate) struct ExpectedWrite {
    pub(crate) key: SmolStr,
    /// The revision that the key must have; 0 if it must not exist.
    pub(crate) revision: Revision,
    pub(crate) value: Bytes,
}

/// Replaces the table on which `table` is based by `table` in the store and adopts it. Returns the
/// new revision, or `None` if the write conflicted or failed.
pub(crate) async fn commit_table<P: Platform>(
    shared: &Rc<Shared<P>>,
    table: &LeadTable,
) -> Option<Revision> {
    commit_table_with(shared, table, None).await
}

/// The same as [`commit_table`], with another key that is written in the same transaction.
pub(crate) async fn commit_table_with<P: Platform>(
    shared: &Rc<Shared<P>>,
    table: &LeadTable,
    other: Option<ExpectedWrite>,
) -> Option<Revision> {
    let era = shared.lead_state.borrow().era;
    let mut writes = vec![(SmolStr::new_static(LEAD_KEY), format_leads(table), None)];
    if table.era != era || table.revision == 0 {
        let key = SmolStr::new_static(LEAD_ERA_KEY);
        writes.push((key, format_era(era), None));
    }
    let mut expected = vec![(SmolStr::new_static(LEAD_KEY), table.revision)];
    if let Some(other) = other {
        expected.push((other.key.clone(), other.revision));
        writes.push((other.key, other.value, None));
    }
    let change = StoreChange {
        expected,
        writes,
        ..StoreChange::default()
    };
    let commit = shared.store.commit(&change);
    match call_with_timeout(shared, StoreCall::Commit, STORE_CALL_TIMEOUT, commit).await {
        Ok(CommitOutcome::Committed(revision)) => {
            if shared.lead_state.borrow().era != era {
                return None;
            }
            shared.adopt_table(LeadTable {
                era,
                revision,
                ..table.clone()
            });
            Some(revision)
        }
        Ok(CommitOutcome::Conflict) => None,
        Err(error) => {
            debug!("failed to write the table of leads: {error}");
            None
        }
    }
}

/// Reads the table from the store and adopts it.
pub(crate) async fn refresh_table<P: Platform>(shared: &Shared<P>) {
    // A failure is logged by the store's health check; the next iteration reads again.
    let _ = read_table(shared).await;
}

/// Reads the table from the store and adopts it. Returns `false` if there is none of the store's
/// present era.
///
/// # Errors
/// Returns an error if the store does not answer, or was restored meanwhile.
pub(crate) async fn read_table<P: Platform>(shared: &Shared<P>) -> Result<bool, StoreError> {
    let era = shared.lead_state.borrow().era;
    let call = shared.store.read(LEAD_KEY);
    let (item, _) =
        call_with_timeout(shared, StoreCall::ReadLead, STORE_CALL_TIMEOUT, call).await?;
    if shared.lead_state.borrow().era != era {
        return Err(StoreError::Restored);
    }
    Ok(item.is_some_and(|item| adopt_item(shared, &item)))
}

/// Adopts the table that `item`, which the store returned in its present era, contains. Returns
/// `false` if it may be from before the store was restored, or is invalid.
pub(crate) fn adopt_item<P: Platform>(shared: &Shared<P>, item: &StoreItem) -> bool {
    let era = {
        let lead_state = shared.lead_state.borrow();
        // The item does not tell. Once a table was written in an era, all later ones are of it.
        if !lead_state.has_present_table() {
            return false;
        }
        lead_state.era
    };
    let version = StoreVersion {
        era,
        revision: item.revision,
    };
    let Some(table) = parse_leads(&item.value, version) else {
        return false;
    };
    shared.adopt_table(table);
    true
}
