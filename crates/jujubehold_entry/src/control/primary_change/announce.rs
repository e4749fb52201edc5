//! Announces a change of primary, so that exactly one host makes it.

use bytes::Bytes;
use jujubehold_core::lead_table::{Lead, LeadChange, LeadTable};
use jujubehold_core::store_version::{Revision, StoreVersion};
use smol_str::{SmolStr, format_smolstr};

use super::super::lead_document::format_leads;
use super::super::primary_keeper::ChangeReason;
use super::super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, call_with_timeout};
use super::super::{DUTY_KEY, HOSTS_PREFIX, LEAD_KEY};
use super::STEP_RETRY_PAUSE;
use crate::prelude::*;
use crate::protocol::{CommitOutcome, Store, StoreChange, StoreError};

/// How many times an announcement is attempted if its answer is lost.
const MAX_ANNOUNCE_ATTEMPTS: u32 = 5;

/// A change of primary that this host announced.
#[derive(Debug)]
pub(super) struct AnnouncedChange {
    pub(super) service: ServiceId,
    pub(super) old_primary: InstanceId,
    /// The term in which it leads; 0 if it is not known.
    pub(super) old_term: Term,
    /// The point in the store's history at which the change was announced.
    pub(super) version: StoreVersion,
    /// The point at which this host's name was written to [`DUTY_KEY`].
    pub(super) duty: StoreVersion,
    pub(super) is_planned: bool,
    pub(super) announced_at: Monotonic,
}

/// Writes the announcement; `None` if another host was first or this host may not make the change.
pub(super) async fn announce<P: Platform>(
    shared: &Rc<Shared<P>>,
    service: &ServiceId,
    reason: ChangeReason,
) -> Option<AnnouncedChange> {
    let table = {
        let lead_state = shared.lead_state.borrow();
        lead_state
            .has_present_table()
            .then(|| lead_state.table.clone())?
    };
    let lead = table.leads.get(service)?.clone();
    let is_planned = reason == ChangeReason::Leaving;
    let host = shared.settings.host.clone();
    let change = LeadChange {
        by: host.clone(),
        is_planned,
        // A change that is taken over still waits for what it waited for.
        awaits_instance: lead
            .change
            .as_ref()
            .is_some_and(|change| change.awaits_instance),
    };
    let new_lead = Lead {
        primary: lead.primary.clone(),
        term: lead.term,
        change: Some(change),
    };
    let new_table = table.with_lead(service, new_lead);
    let own_key = shared.lead_state.borrow().membership.as_ref()?.key_revision;
    let duty = call_with_timeout(
        shared,
        StoreCall::Read,
        STORE_CALL_TIMEOUT,
        shared.store.read(DUTY_KEY),
    )
    .await;
    let (duty, _) = duty.ok()?;
    let holds_duty = duty
        .as_ref()
        .is_some_and(|item| *item.value == *host.as_bytes());
    let duty_revision = duty.map_or(0, |item| item.revision);
    let mut store_change = StoreChange {
        expected: vec![
            (SmolStr::new_static(LEAD_KEY), table.revision),
            (format_smolstr!("{HOSTS_PREFIX}{host}"), own_key),
            (SmolStr::new_static(DUTY_KEY), duty_revision),
        ],
        writes: vec![(
            SmolStr::new_static(LEAD_KEY),
            format_leads(&new_table),
            None,
        )],
        ..StoreChange::default()
    };
    if !holds_duty {
        let value = Bytes::copy_from_slice(host.as_bytes());
        store_change
            .writes
            .push((SmolStr::new_static(DUTY_KEY), value, None));
    }
    let revision = commit_announcement(shared, &store_change, &new_table).await?;
    // After a restore the announcement is gone, and so is the duty.
    if shared.lead_state.borrow().era != table.era {
        return None;
    }
    shared.adopt_table(LeadTable {
        revision,
        ..new_table
    });
    let version = |revision| StoreVersion {
        era: table.era,
        revision,
    };
    Some(AnnouncedChange {
        service: service.clone(),
        old_primary: lead.primary,
        old_term: lead.term,
        version: version(revision),
        duty: version(if holds_duty { duty_revision } else { revision }),
        is_planned,
        announced_at: shared.now(),
    })
}

// Reads the table back to distinguish a lost answer from a lost write. The write takes effect at
// most once, because it changes the revision that it expects.
async fn commit_announcement<P: Platform>(
    shared: &Shared<P>,
    change: &StoreChange,
    table: &LeadTable,
) -> Option<Revision> {
    for _ in 0..MAX_ANNOUNCE_ATTEMPTS {
        let commit = shared.store.commit(change);
        match call_with_timeout(shared, StoreCall::Commit, STORE_CALL_TIMEOUT, commit).await {
            Ok(CommitOutcome::Committed(revision)) => return Some(revision),
            Ok(CommitOutcome::Conflict) => return read_back(shared, table).await.ok()?,
            Err(StoreError::Refused { .. }) => return None,
            Err(_) => match read_back(shared, table).await {
                Ok(Some(revision)) => return Some(revision),
                Ok(None) | Err(_) => actix_rt::time::sleep(STEP_RETRY_PAUSE).await,
            },
        }
    }
    None
}

/// Returns the revision of `table` if the store holds exactly this table.
async fn read_back<P: Platform>(
    shared: &Shared<P>,
    table: &LeadTable,
) -> Result<Option<Revision>, StoreError> {
    let call = shared.store.read(LEAD_KEY);
    let (item, _) =
        call_with_timeout(shared, StoreCall::ReadLead, STORE_CALL_TIMEOUT, call).await?;
    Ok(item
        .filter(|item| item.revision > table.revision && item.value == format_leads(table))
        .map(|item| item.revision))
}

/// Returns whether this host still makes the change, according to the table that it knows.
pub(super) fn is_current<P: Platform>(shared: &Shared<P>, announced: &AnnouncedChange) -> bool {
    let lead_state = shared.lead_state.borrow();
    if lead_state.era != announced.version.era {
        return false;
    }
    let Some(lead) = lead_state.table.leads.get(&announced.service) else {
        return false;
    };
    lead.primary == announced.old_primary
        && lead
            .change
            .as_ref()
            .is_some_and(|change| change.by == shared.settings.host)
}
