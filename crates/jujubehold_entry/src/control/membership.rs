//! This host's place in the list of hosts.
//!
//! The list tells who must stop before a primary is replaced, and among how many hosts an
//! instance's connections are shared.

use std::net::SocketAddr;

use jujubehold_core::backoff::Backoff;
use log::info;
use smol_str::{SmolStr, format_smolstr};

use super::HOSTS_PREFIX;
use super::instances::lose_membership;
use super::member_document::format_member;
use super::store_calls::{CALL_TIMEOUT, within};
use crate::lead_state::Membership;
use crate::phase::Phase;
use crate::prelude::*;
use crate::protocol::{Committed, Store, StoreChange, StoreError};

/// The waits after failures.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    limit: Duration::from_millis(700),
};
/// How long a leaving host tries to end its lease.
const LEAVE_TIMEOUT: Duration = Duration::from_millis(300);

/// Keeps this host in the list until the future is dropped.
pub(crate) async fn keep_membership<P: Platform>(shared: Rc<Shared<P>>, peer: SocketAddr) {
    let mut failures = 0;
    loop {
        let membership = shared.lead.borrow().membership.clone();
        let result = match &membership {
            Some(membership) => renew(&shared, membership).await,
            // A host that has taken itself off must not come back in its last moments: whoever
            // replaces a primary would wait for it.
            None if *shared.phase.borrow() == Phase::Closing => return,
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
                    lose_membership(&shared, &mut shared.lead.borrow_mut());
                }
                BACKOFF.delay(failures, rand::random())
            }
        };
        // A host that was taken off the list joins again at once.
        let lost = shared.membership_changed.notified();
        let _ = tokio::time::timeout(pause, lost).await;
    }
}

/// Takes this host off the list, so that the others need not wait for its lease to end.
pub(crate) async fn leave<P: Platform>(shared: &Shared<P>) {
    let membership = shared.lead.borrow_mut().membership.take();
    if let Some(membership) = membership {
        let call = shared.store.end_lease(membership.lease);
        if let Err(error) = within(shared, "end_lease", LEAVE_TIMEOUT, call).await {
            info!(error:% = error; "the lease is left to end by itself");
        }
    }
}

async fn renew<P: Platform>(shared: &Shared<P>, membership: &Membership) -> Result<(), StoreError> {
    let asked_at = shared.now();
    let call = shared.store.renew_lease(membership.lease);
    within(shared, "renew_lease", CALL_TIMEOUT, call).await?;
    let mut lead = shared.lead.borrow_mut();
    // The lease runs from the call's arrival, which was no sooner.
    if lead.membership.as_ref() == Some(membership) {
        let until = asked_at + shared.settings.membership_lease;
        lead.proof.note_listed_until(until);
    }
    Ok(())
}

async fn join<P: Platform>(shared: &Shared<P>, peer: SocketAddr) -> Result<(), StoreError> {
    let lease_time = shared.settings.membership_lease;
    let asked_at = shared.now();
    let grant = shared.store.grant_lease(lease_time);
    let lease = within(shared, "grant_lease", CALL_TIMEOUT, grant).await?;
    let key: SmolStr = format_smolstr!("{HOSTS_PREFIX}{}", shared.settings.host);
    let read = within(shared, "read", CALL_TIMEOUT, shared.store.read(&key)).await?;
    // A key of an earlier process of this host is taken over.
    let expected = read.0.map_or(0, |item| item.revision);
    let change = StoreChange {
        expected: vec![(key.clone(), expected)],
        writes: vec![(
            key,
            format_member(peer, &shared.settings.domain),
            Some(lease),
        )],
    };
    let commit = shared.store.commit(&change);
    let Committed::Made(key_revision) = within(shared, "commit", CALL_TIMEOUT, commit).await?
    else {
        return Err(StoreError::Refused { status: 412 });
    };
    let joined_at = shared.now();
    info!(lease, revision = key_revision; "joined the list of hosts");
    let mut state = shared.lead.borrow_mut();
    state.proof.note_listed_until(asked_at + lease_time);
    state.membership = Some(Membership {
        lease,
        key_revision,
        joined_at,
    });
    drop(state);
    shared.membership_changed.notify_waiters();
    Ok(())
}
