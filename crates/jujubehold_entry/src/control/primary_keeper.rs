//! Sees when a service needs another primary, and which host is to bring it about.
//!
//! Every host looks. The one that gave the last order acts first, the others after it in the order
//! of their names, each a while later, so that mostly one host acts; the store's compare-and-swap
//! decides where two do.

use std::collections::BTreeMap;

use jujubehold_core::lead_table::{Lead, LeadTable};
use log::{debug, info};
use smol_str::SmolStr;

use super::LEAD_KEY;
use super::lead_document::format_leads;
use super::peers::Peers;
use super::primary_change::change_primary;
use super::store_calls::{CALL_TIMEOUT, within};
use crate::prelude::*;
use crate::protocol::{Committed, InstanceLifecycle, Store, StoreChange};

/// How often the services are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// How much later each further host acts.
const RANK_PAUSE: Duration = Duration::from_millis(150);
/// How much later a host acts that may not know all hosts: it has to wait for windows to lapse,
/// where another one asks.
const UNKNOWING_PAUSE: Duration = Duration::from_secs(1);
/// How often a host repeats that it misses a primary.
const VOTE_INTERVAL: Duration = Duration::from_millis(200);
/// For how long a host that is off the list still counts among those that may miss a primary.
const HOST_COUNTED: Duration = Duration::from_secs(4);
/// How long a primary may be off the list before it counts as gone.
const GONE_AFTER: Duration = Duration::from_millis(400);

jujubehold_core::key_type! {
    /// Why a service needs another primary.
    pub(crate) enum ChangeReason {
        /// No primary is on record.
        NoRecord,
        /// The primary leaves by plan.
        Leaving,
        /// At least half of the hosts have no answer from it.
        Lost,
        /// It is off the list of instances.
        Gone,
        /// The host that was replacing it is off the list of hosts, or has forgotten it.
        Orphaned,
    }
}

#[derive(Debug, Default)]
struct Watched {
    reasons: BTreeMap<ServiceId, (ChangeReason, Monotonic)>,
    voted_at: BTreeMap<ServiceId, Monotonic>,
}

/// Looks after the primaries until the future is dropped.
pub(crate) async fn keep_primaries<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
    let mut watched = Watched::default();
    loop {
        actix_rt::time::sleep(LOOK_INTERVAL).await;
        let Some(configuration) = shared.configuration.borrow().clone() else {
            continue;
        };
        for service in configuration.services.keys() {
            vote(&shared, &peers, &mut watched, service);
            look_at(&shared, &peers, &mut watched, service);
        }
    }
}

fn vote<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    watched: &mut Watched,
    service: &ServiceId,
) {
    let now = shared.now();
    let primary = {
        let lead = shared.lead.borrow();
        lead.table.usable_primary(service).cloned()
    };
    let Some(upstream) = primary.as_ref().and_then(|id| shared.upstream(id)) else {
        return;
    };
    let silent_since = upstream.silent_since();
    let id = upstream.id();
    let is_missed = shared.with_group(service, |group| {
        let is_missed = group.votes.counts_as_unreachable(silent_since, now);
        if is_missed {
            group.votes.note(now, &shared.settings.host, &id, true);
        }
        is_missed
    });
    let last = watched.voted_at.get(service).copied().unwrap_or_default();
    if is_missed && now.saturating_sub(last) >= VOTE_INTERVAL {
        watched.voted_at.insert(service.clone(), now);
        peers.vote(shared, service, &id);
    }
}

fn look_at<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    watched: &mut Watched,
    service: &ServiceId,
) {
    let now = shared.now();
    let Some(reason) = reason_for_change(shared, peers, service) else {
        watched.reasons.remove(service);
        return;
    };
    let entry = watched
        .reasons
        .entry(service.clone())
        .or_insert((reason, now));
    if entry.0 != reason {
        *entry = (reason, now);
    }
    let patience = turn(shared, now) + least_wait(reason);
    if now.saturating_sub(entry.1) < patience || !peers.begin_change(service) {
        return;
    }
    watched.reasons.remove(service);
    let (shared, peers, service) = (Rc::clone(shared), Rc::clone(peers), service.clone());
    actix_rt::spawn(async move {
        if reason == ChangeReason::NoRecord {
            record_first_primary(&shared, &peers, &service).await;
        } else {
            change_primary(&shared, &peers, &service, reason).await;
        }
        peers.end_change(&service);
    });
}

fn least_wait(reason: ChangeReason) -> Duration {
    match reason {
        ChangeReason::NoRecord | ChangeReason::Leaving | ChangeReason::Lost => Duration::ZERO,
        ChangeReason::Gone | ChangeReason::Orphaned => GONE_AFTER,
    }
}

fn reason_for_change<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    service: &ServiceId,
) -> Option<ChangeReason> {
    let now = shared.now();
    let state = shared.lead.borrow();
    state.membership.as_ref()?;
    let Some(lead) = state.table.leads.get(service) else {
        return Some(ChangeReason::NoRecord);
    };
    if let Some(change) = &lead.change {
        let is_own = change.by == shared.settings.host;
        let is_member = state.members.contains_key(&change.by);
        let is_orphaned = !is_member || (is_own && !peers.is_changing(service));
        return is_orphaned.then_some(ChangeReason::Orphaned);
    }
    let Some(upstream) = shared.upstream(&lead.primary) else {
        return shared.knows_directory().then_some(ChangeReason::Gone);
    };
    if upstream.entry().lifecycle == InstanceLifecycle::Leaving {
        return Some(ChangeReason::Leaving);
    }
    // Hosts whose place lapsed while the store was away still count.
    let host_count = state.seen_since(now.saturating_sub(HOST_COUNTED)).len();
    let is_lost = shared.with_group(service, |group| {
        group.votes.is_lost(now, &lead.primary, host_count)
    });
    is_lost.then_some(ChangeReason::Lost)
}

/// How long this host leaves a change to those before it in the order of names.
fn turn<P: Platform>(shared: &Shared<P>, now: Monotonic) -> Duration {
    let state = shared.lead.borrow();
    let before = state
        .members
        .keys()
        .filter(|host| **host < shared.settings.host)
        .count();
    let turn = RANK_PAUSE * u32::try_from(before).unwrap_or(u32::MAX);
    if state.proof.knows_all_hosts(now) {
        turn
    } else {
        turn + UNKNOWING_PAUSE
    }
}

// The instance that the list calls the primary. Where two say so, their terms must tell; that is a
// change like any other, for which a record has to be there first.
async fn record_first_primary<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    service: &ServiceId,
) {
    let mut primaries = shared
        .upstreams_of(service)
        .into_iter()
        .map(|upstream| upstream.entry())
        .filter(|entry| entry.role == Role::Primary);
    let (Some(primary), None) = (primaries.next(), primaries.next()) else {
        debug!("{service} has no one primary on the list");
        return;
    };
    let lead = Lead {
        primary: primary.id,
        change: None,
    };
    let table = shared.lead.borrow().table.with_lead(service, lead);
    if let Some(revision) = commit_table(shared, &table).await {
        info!(service = service.as_str(), revision; "first primary put on record");
        peers.tell_table(shared);
    }
}

/// Writes `table` in place of the one that this host knows, and takes it in.
pub(crate) async fn commit_table<P: Platform>(
    shared: &Rc<Shared<P>>,
    table: &LeadTable,
) -> Option<u64> {
    let change = StoreChange {
        expected: vec![(SmolStr::new_static(LEAD_KEY), table.revision)],
        writes: vec![(SmolStr::new_static(LEAD_KEY), format_leads(table), None)],
    };
    let commit = shared.store.commit(&change);
    match within(shared, "commit", CALL_TIMEOUT, commit).await {
        Ok(Committed::Made(revision)) => {
            shared.adopt_table(LeadTable {
                revision,
                ..table.clone()
            });
            Some(revision)
        }
        Ok(Committed::Conflict) => None,
        Err(error) => {
            debug!("the table of leads can't be written: {error}");
            None
        }
    }
}
