//! Records the new primary in the table of leads.

use jujubehold_core::lead_table::Lead;

use super::super::peers::Peers;
use super::super::table_access::{commit_table, refresh_table};
use super::STEP_RETRY_PAUSE;
use super::announce::{AnnouncedChange, is_current};
use super::candidates::PromotedInstance;
use crate::prelude::*;

/// Records the new primary; `None` if another host took the change over.
pub(super) async fn record_primary<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
    promoted: PromotedInstance,
) -> Option<InstanceId> {
    let PromotedInstance { id: primary, term } = promoted;
    while is_current(shared, announced) {
        let lead = Lead {
            primary: primary.clone(),
            term,
            change: None,
        };
        let table = shared
            .lead_state
            .borrow()
            .table
            .with_lead(&announced.service, lead);
        if commit_table(shared, &table).await.is_some() {
            peers.send_table(shared);
            return Some(primary);
        }
        // Another service's change may have altered the table, or the answer was lost.
        refresh_table(shared).await;
        let is_done = {
            let lead_state = shared.lead_state.borrow();
            lead_state.table.usable_primary(&announced.service) == Some(&primary)
        };
        if is_done {
            peers.send_table(shared);
            return Some(primary);
        }
        actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
    }
    None
}
