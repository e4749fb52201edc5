//! Reads and writes the table of leads.

use jujubehold_core::lead_table::{LeadTable, Revision};
use log::debug;
use smol_str::SmolStr;

use super::LEAD_KEY;
use super::lead_document::{format_leads, parse_leads};
use super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, call_with_timeout};
use crate::prelude::*;
use crate::protocol::{CommitOutcome, Store, StoreChange};

/// Replaces the table that this host knows by `table` in the store and adopts it. Returns the new
/// revision, or `None` if the write conflicted or failed.
pub(crate) async fn commit_table<P: Platform>(
    shared: &Rc<Shared<P>>,
    table: &LeadTable,
) -> Option<Revision> {
    let change = StoreChange {
        expected: vec![(SmolStr::new_static(LEAD_KEY), table.revision)],
        writes: vec![(SmolStr::new_static(LEAD_KEY), format_leads(table), None)],
        ..StoreChange::default()
    };
    let commit = shared.store.commit(&change);
    match call_with_timeout(shared, StoreCall::Commit, STORE_CALL_TIMEOUT, commit).await {
        Ok(CommitOutcome::Committed(revision)) => {
            shared.adopt_table(LeadTable {
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
    let call = shared.store.read(LEAD_KEY);
    // A failure is logged by the store's health check; the next iteration reads again.
    if let Ok((Some(item), _)) =
        call_with_timeout(shared, StoreCall::ReadLead, STORE_CALL_TIMEOUT, call).await
        && let Some(table) = parse_leads(&item.value, item.revision)
    {
        shared.adopt_table(table);
    }
}
