//! Records the new primary in the table of leads, and what it had when it took over.

use jujubehold_core::lead_table::{Lead, LeadChange};

use super::super::peers::Peers;
use super::super::replica_document::format_replicas;
use super::super::replica_records::{listed_instances, read_replicas, replicas_key};
use super::super::table_access::{ExpectedWrite, commit_table, commit_table_with, refresh_table};
use super::STEP_RETRY_PAUSE;
use super::announce::{AnnouncedChange, is_current};
use super::candidates::PromotedInstance;
use super::confirmed_promotion::confirming_replicas;
use crate::prelude::*;
use crate::protocol::StoreError;

/// Records the new primary; `None` if another host took the change over.
pub(super) async fn record_primary<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
    promoted: PromotedInstance,
) -> Option<InstanceId> {
    let PromotedInstance {
        id: primary,
        term,
        start,
    } = promoted;
    while is_current(shared, announced) {
        let Ok(replicas) = replica_record_write(shared, &announced.service, term, start).await
        else {
            actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
            continue;
        };
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
        if commit_table_with(shared, &table, replicas).await.is_some() {
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

/// Announces that the change waits for an instance, so that hosts refuse at once what needs the
/// primary. If that fails, it is repeated with the next look at the instances.
pub(super) async fn announce_wait<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
) {
    if shared.awaits_instance(&announced.service) || !is_current(shared, announced) {
        return;
    }
    let table = shared.lead_state.borrow().table.clone();
    let Some(lead) = table.leads.get(&announced.service).cloned() else {
        return;
    };
    let change = lead.change.map(|change| LeadChange {
        awaits_instance: true,
        ..change
    });
    let table = table.with_lead(&announced.service, Lead { change, ..lead });
    if commit_table(shared, &table).await.is_some() {
        peers.send_table(shared);
    } else {
        refresh_table(shared).await;
        actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
    }
}

// Returns the write of the replica record as of the new primary's term; `None` if no replica confirms
// commits.
async fn replica_record_write<P: Platform>(
    shared: &Shared<P>,
    service: &ServiceId,
    term: Term,
    start: Option<LogPosition>,
) -> Result<Option<ExpectedWrite>, StoreError> {
    if confirming_replicas(shared, service) == 0 {
        return Ok(None);
    }
    let stored = read_replicas(shared, service).await?;
    let listed = listed_instances(shared, service);
    let mut record = stored.record.extended(term, &listed);
    record.start = start.or(record.start);
    Ok(Some(ExpectedWrite {
        key: replicas_key(service),
        revision: stored.revision,
        value: format_replicas(&record),
    }))
}
