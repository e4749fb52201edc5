//! Keeps this host in the list of hosts.
//!
//! The list determines which hosts must stop using a primary before it is replaced, and how many
//! hosts share an instance's connections.

use std::net::SocketAddr;

use jujubehold_core::backoff::Backoff;
use jujubehold_core::call_gate::CallKind;
use jujubehold_core::quota::NameRecord;
use log::info;
use smol_str::{SmolStr, format_smolstr};

use super::HOSTS_PREFIX;
use super::host_names::{name_key, name_value};
use super::instances::discard_membership;
use super::member_document::{format_member, parse_member};
use super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, call_with_timeout, wait_for_turn};
use crate::lead_state::Membership;
use crate::phase::Phase;
use crate::prelude::*;
use crate::protocol::{CommitOutcome, Store, StoreChange, StoreError, StoreItem};

/// The delays after failures.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    limit: Duration::from_millis(700),
};
/// The timeout for a leaving host to revoke its lease.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Keeps this host in the list until the future is dropped.
pub(crate) async fn keep_membership<P: Platform>(shared: Rc<Shared<P>>, peer: SocketAddr) {
    let mut failures = 0;
    loop {
        wait_for_turn(&shared, CallKind::Write).await;
        let membership = shared.lead_state.borrow().membership.clone();
        let result = match &membership {
            Some(membership) => renew(&shared, membership).await,
            // A host that has removed itself must not be listed again while it shuts down: whoever
            // replaces a primary would wait for it.
            None if *shared.phase.borrow() >= Phase::ClosingTransactions => return,
            None => join(&shared, peer).await,
        };
        let pause = match result {
            Ok(()) => {
                failures = 0;
                shared.settings.membership_lease / 3
            }
            Err(error) => {
                failures += 1;
                if error == StoreError::LeaseEnded {
                    discard_membership(&shared, &mut shared.lead_state.borrow_mut());
                }
                BACKOFF.delay(failures, rand::random())
            }
        };
        // A host that was removed from the list joins again at once.
        let lost = shared.membership_changed.notified();
        let _ = tokio::time::timeout(pause, lost).await;
    }
}

/// Removes this host from the list, so that the others need not wait until its lease expires.
pub(crate) async fn leave<P: Platform>(shared: &Shared<P>) {
    let membership = shared.lead_state.borrow_mut().membership.take();
    if let Some(membership) = membership {
        let call = shared.store.end_lease(membership.lease);
        if let Err(error) =
            call_with_timeout(shared, StoreCall::EndLease, LEAVE_TIMEOUT, call).await
        {
            info!(error:% = error; "failed to revoke the lease; it will expire");
        }
    }
}

async fn renew<P: Platform>(shared: &Shared<P>, membership: &Membership) -> Result<(), StoreError> {
    let sent_at = shared.now();
    let call = shared.store.renew_lease(membership.lease);
    call_with_timeout(shared, StoreCall::RenewLease, STORE_CALL_TIMEOUT, call).await?;
    let mut lead_state = shared.lead_state.borrow_mut();
    // The lease runs from the call's arrival, which was no earlier than `sent_at`.
    if lead_state.membership.as_ref() == Some(membership) {
        let until = sent_at + shared.settings.membership_lease;
        lead_state.proof.note_listed_until(until);
    }
    Ok(())
}

// Returns the entry of this host, which is overwritten, if there is one.
async fn earlier_entry<P: Platform>(
    shared: &Shared<P>,
    key: &str,
) -> Result<Option<StoreItem>, StoreError> {
    // Hundreds of hosts that start together for the first time need no call to know that. If this
    // process has been listed before, or another one is listed, the write fails and is repeated.
    let has_been_listed = shared.lead_state.borrow().members_revision > 0;
    if shared.settings.is_first_start && !has_been_listed && !shared.has_tried_to_join.replace(true)
    {
        return Ok(None);
    }
    let read = shared.store.read(key);
    let (item, _) = call_with_timeout(shared, StoreCall::Read, STORE_CALL_TIMEOUT, read).await?;
    Ok(item)
}

async fn join<P: Platform>(shared: &Shared<P>, peer: SocketAddr) -> Result<(), StoreError> {
    let era = shared.lead_state.borrow().era;
    let lease_time = shared.settings.membership_lease;
    let grant_sent_at = shared.now();
    let key: SmolStr = format_smolstr!("{HOSTS_PREFIX}{}", shared.settings.host);
    let grant = shared.store.grant_lease(lease_time);
    // Both at once: a host that has just started serves no request before it has joined.
    let (lease, earlier) = tokio::join!(
        call_with_timeout(shared, StoreCall::GrantLease, STORE_CALL_TIMEOUT, grant),
        earlier_entry(shared, &key),
    );
    let (lease, earlier) = (lease?, earlier?);
    let entry = format_member(peer, &shared.settings.domain, shared.process);
    let mut writes = vec![(key.clone(), entry, Some(lease))];
    let records_name = shared.settings.is_first_start && shared.settings.expects_quotas;
    if records_name {
        let value = name_value(NameRecord::Settled);
        writes.push((name_key(&shared.settings.host), value, None));
    }
    let change = StoreChange {
        expected: vec![(key, earlier.as_ref().map_or(0, |item| item.revision))],
        writes,
        ..StoreChange::default()
    };
    let commit = shared.store.commit(&change);
    let CommitOutcome::Committed(key_revision) =
        call_with_timeout(shared, StoreCall::Commit, STORE_CALL_TIMEOUT, commit).await?
    else {
        return Err(StoreError::Refused { status: 412 });
    };
    let joined_at = shared.now();
    info!(lease, revision = key_revision; "joined the list of hosts");
    if shared.earlier_process.get().is_none() {
        let member = earlier.and_then(|item| parse_member(&item.value, item.revision));
        let process = member.map_or(0, |member| member.process);
        shared.earlier_process.set(Some(process));
    }
    if records_name {
        shared.quotas.note_first_listing(joined_at);
    }
    let mut lead_state = shared.lead_state.borrow_mut();
    // Before the first answer, no era was known.
    if era != 0 && lead_state.era != era {
        return Err(StoreError::Restored);
    }
    lead_state
        .proof
        .note_listed_until(grant_sent_at + lease_time);
    lead_state.membership = Some(Membership {
        lease,
        key_revision,
        joined_at,
    });
    drop(lead_state);
    shared.membership_changed.notify_waiters();
    Ok(())
}
