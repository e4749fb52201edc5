//! Keeps the proof that the table of leads is the newest.

use jujubehold_core::lead_table::LeadTable;
use log::{debug, warn};

use super::instances::take_members;
use super::lead_document::parse_leads;
use super::store_calls::within;
use super::{LEAD_KEY, OWN_PREFIX};
use crate::prelude::*;
use crate::protocol::{Store, StoreError};

/// How often the table is read: a third of the window, so that two reads may fail.
const READ_INTERVAL: Duration = Duration::from_millis(800);
/// How soon it is read again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// How long one read may take: longer than a slow store's answer.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// Reads the table again and again.
pub(crate) async fn keep_proof<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        let pause = match read(&shared).await {
            Ok(()) => READ_INTERVAL,
            Err(error) => {
                debug!("the table of leads can't be read: {error}");
                RETRY_INTERVAL
            }
        };
        // A host that has just joined needs its proof at once.
        let joined = shared.membership_changed.notified();
        let _ = tokio::time::timeout(pause, joined).await;
    }
}

async fn read<P: Platform>(shared: &Shared<P>) -> Result<(), StoreError> {
    let asked_at = shared.now();
    let call = shared.store.list(OWN_PREFIX);
    let listing = within(shared, "list_own", READ_TIMEOUT, call).await?;
    let mut table = Some(LeadTable::default());
    for item in &listing.items {
        if item.key == LEAD_KEY {
            table = parse_leads(&item.value, item.revision);
        }
    }
    let Some(table) = table else {
        warn!(revision = listing.revision; "the table of leads can't be read");
        return Err(StoreError::Unreadable);
    };
    let is_listed = take_members(shared, &listing, asked_at);
    if is_listed && table.revision >= shared.lead.borrow().table.revision {
        shared.adopt_table(table);
        shared.lead.borrow_mut().proof.note_read(asked_at);
        shared.changed.notify_waiters();
    }
    Ok(())
}
