//! Detects when a service needs another primary, and decides which host makes the change.
//!
//! Every host checks. The hosts act in one order, each after a further delay, so that usually one
//! host acts; the store's compare-and-swap decides if two do. Whether a primary is lost is decided
//! by the hosts that watch the primaries.

use std::collections::BTreeMap;

use jujubehold_core::first_records::{FirstRecords, MAX_FIRST_RECORDS};
use jujubehold_core::primary_votes::PrimarySilence;
use jujubehold_core::primary_watchers::acting_rank;
use jujubehold_core::stall_detector::StallDetector;

use super::first_primaries::{has_claimed_primary, record_first_primaries};
use super::lead_recovery::LeadRecovery;
use super::peers::Peers;
use super::primary_change::change_primary;
use crate::prelude::*;
use crate::protocol::InstanceLifecycle;

/// How often the services are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// The additional delay of each further host.
pub(super) const RANK_DELAY: Duration = Duration::from_millis(150);
/// The additional delay of a host that may not know all hosts: it has to wait until all proof
/// windows expire, while another host can ask the hosts to stop.
const INCOMPLETE_LIST_DELAY: Duration = Duration::from_secs(1);
/// How often a host repeats its vote that a primary is unreachable.
const VOTE_INTERVAL: Duration = Duration::from_millis(200);
/// For how long a host that was removed from the list still counts among the hosts that vote.
const HOST_COUNT_WINDOW: Duration = Duration::from_secs(4);
/// How long an entry must be missing before the primary, or the host that replaces it, counts as
/// gone.
const MISSING_ENTRY_DELAY: Duration = Duration::from_millis(400);

jujubehold_core::key_type! {
    /// Why a service needs another primary.
    pub(crate) enum ChangeReason {
        /// The primary's entry says that it is leaving.
        Leaving,
        /// At least half of the watchers get no answer from the primary.
        Lost,
        /// The primary is not in the list of instances.
        Gone,
        /// The host that was replacing the primary is not in the list of hosts, or no longer works
        /// on the change.
        Orphaned,
    }
}

#[derive(Debug)]
struct MonitorState {
    /// Detects that this host reads answers late.
    stalls: StallDetector,
    /// Records the leads anew after the store was restored.
    recovery: LeadRecovery,
    /// Since when services have had no primary on record.
    first_records: FirstRecords,
    /// The services whose primaries this host last began to record.
    recording: Vec<ServiceId>,
    /// Why each service needs another primary, and since when this host has seen that reason.
    reasons: BTreeMap<ServiceId, (ChangeReason, Monotonic)>,
    /// When this host last sent its vote that a service's primary is unreachable.
    voted_at: BTreeMap<ServiceId, Monotonic>,
}

/// Checks all services until the future is dropped.
pub(crate) async fn monitor_primaries<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
    let mut monitor = MonitorState {
        stalls: StallDetector::new(CHECK_INTERVAL),
        recovery: LeadRecovery::default(),
        first_records: FirstRecords::default(),
        recording: Vec::new(),
        reasons: BTreeMap::new(),
        voted_at: BTreeMap::new(),
    };
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        monitor.stalls.note_tick(shared.now());
        let Some(configuration) = shared.configuration.borrow().clone() else {
            continue;
        };
        monitor.recovery.check(&shared, &peers).await;
        let is_watcher = shared.is_watcher();
        if is_watcher {
            vote(&shared, &peers, &mut monitor, configuration.services.keys());
        }
        for service in configuration.services.keys() {
            check_service(&shared, &peers, &mut monitor, service);
        }
        check_first_records(&shared, &peers, &mut monitor, configuration.services.keys());
    }
}

fn vote<'a, P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    monitor: &mut MonitorState,
    services: impl Iterator<Item = &'a ServiceId> + Clone,
) {
    let unreachable = services.clone().filter_map(|service| {
        let primary = unreachable_primary(shared, monitor, service)?;
        Some((service.clone(), primary))
    });
    let unreachable: BTreeMap<ServiceId, InstanceId> = unreachable.collect();
    let now = shared.now();
    let missed = unreachable.keys().cloned().collect();
    let mut vote_rounds = peers.vote_rounds.borrow_mut();
    let voted = vote_rounds.voted_services(now, services, &missed);
    drop(vote_rounds);
    for service in voted {
        let last = monitor.voted_at.get(&service).copied().unwrap_or_default();
        if now.saturating_sub(last) >= VOTE_INTERVAL {
            peers.send_vote(shared, &service, &unreachable[&service]);
            monitor.voted_at.insert(service, now);
        }
    }
}

// Returns the primary of the service if this host cannot reach it, and counts this host's own vote.
fn unreachable_primary<P: Platform>(
    shared: &Shared<P>,
    monitor: &MonitorState,
    service: &ServiceId,
) -> Option<InstanceId> {
    let now = shared.now();
    let primary = {
        let lead_state = shared.lead_state.borrow();
        lead_state.table.usable_primary(service).cloned()
    };
    let upstream = shared.upstream(primary.as_ref()?)?;
    let silent_since = upstream.silent_since();
    let id = upstream.id();
    let is_unreachable = shared.with_group(service, |group| {
        let silence = PrimarySilence {
            silent_since,
            host_steady_since: monitor.stalls.steady_since(),
            primary_since: group.primary_since,
        };
        let is_unreachable = group.votes.counts_as_unreachable(&silence, now);
        if is_unreachable {
            group.votes.note(now, &shared.settings.host, &id, true);
        }
        is_unreachable
    });
    is_unreachable.then_some(id)
}

fn check_service<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    monitor: &mut MonitorState,
    service: &ServiceId,
) {
    let now = shared.now();
    let Some(reason) = reason_for_change(shared, peers, service) else {
        monitor.reasons.remove(service);
        return;
    };
    let entry = monitor
        .reasons
        .entry(service.clone())
        .or_insert((reason, now));
    if entry.0 != reason {
        *entry = (reason, now);
    }
    let min_age = rank_delay(shared, now) + min_delay(reason);
    if now.saturating_sub(entry.1) < min_age || !peers.begin_change(service) {
        return;
    }
    monitor.reasons.remove(service);
    let (shared, peers, service) = (Rc::clone(shared), Rc::clone(peers), service.clone());
    actix_rt::spawn(async move {
        change_primary(&shared, &peers, &service, reason).await;
        peers.end_change(&service);
    });
}

// Services that this host records now still lack a record, but are not recorded again.
fn check_first_records<'a, P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    monitor: &mut MonitorState,
    services: impl Iterator<Item = &'a ServiceId>,
) {
    let now = shared.now();
    let mut lacking = services_without_record(shared, services);
    lacking.retain(|service| !peers.is_changing(service) && has_claimed_primary(shared, service));
    let revision = shared.lead_state.borrow().table.revision;
    monitor
        .first_records
        .note(now, !lacking.is_empty(), revision);
    // Changes of one host at the same time conflict like those of several hosts.
    let is_recording = monitor
        .recording
        .iter()
        .any(|service| peers.is_changing(service));
    let rank = acting_rank_of(shared);
    let delay = rank_delay(shared, now);
    if is_recording || !monitor.first_records.is_due(now, rank, delay) {
        return;
    }
    monitor.first_records.note_attempt(now);
    lacking.truncate(MAX_FIRST_RECORDS);
    lacking.retain(|service| peers.begin_change(service));
    monitor.recording.clone_from(&lacking);
    let (shared, peers) = (Rc::clone(shared), Rc::clone(peers));
    actix_rt::spawn(async move {
        record_first_primaries(&shared, &peers, &lacking).await;
        for service in &lacking {
            peers.end_change(service);
        }
    });
}

// Returns none while this host is not listed, as it may not write the table then, and while the leads
// have to be recorded anew, as those that are known are not lost.
fn services_without_record<'a, P: Platform>(
    shared: &Shared<P>,
    services: impl Iterator<Item = &'a ServiceId>,
) -> Vec<ServiceId> {
    let lead_state = shared.lead_state.borrow();
    if lead_state.membership.is_none() || !lead_state.has_present_table() {
        return Vec::new();
    }
    let leads = &lead_state.table.leads;
    let lacking = services.filter(|service| !leads.contains_key(*service));
    lacking.cloned().collect()
}

fn min_delay(reason: ChangeReason) -> Duration {
    match reason {
        ChangeReason::Leaving | ChangeReason::Lost => Duration::ZERO,
        ChangeReason::Gone | ChangeReason::Orphaned => MISSING_ENTRY_DELAY,
    }
}

fn reason_for_change<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    service: &ServiceId,
) -> Option<ChangeReason> {
    let now = shared.now();
    let lead_state = shared.lead_state.borrow();
    lead_state.membership.as_ref()?;
    let lead = lead_state.table.leads.get(service)?;
    if !lead_state.has_present_table() {
        return None;
    }
    if let Some(change) = &lead.change {
        let is_own = change.by == shared.settings.host;
        let is_member = lead_state.members.contains_key(&change.by);
        let is_orphaned = !is_member || (is_own && !peers.is_changing(service));
        return is_orphaned.then_some(ChangeReason::Orphaned);
    }
    let Some(upstream) = shared.upstream(&lead.primary) else {
        // The entry may be newer than this host's view of the directory, but it is older than the
        // table that names it.
        let known_until = shared.directory_progress.borrow().reached();
        let is_missing = shared.is_directory_complete() && known_until >= lead_state.table.revision;
        return is_missing.then_some(ChangeReason::Gone);
    };
    if upstream.entry().lifecycle == InstanceLifecycle::Leaving {
        return Some(ChangeReason::Leaving);
    }
    // Hosts whose entry expired while the store was unavailable still count.
    let host_count = lead_state
        .listed_since(now.saturating_sub(HOST_COUNT_WINDOW))
        .len();
    let is_lost = shared.with_group(service, |group| {
        let host = &shared.settings.host;
        group.votes.is_lost(now, &lead.primary, host, host_count)
    });
    is_lost.then_some(ChangeReason::Lost)
}

fn acting_rank_of<P: Platform>(shared: &Shared<P>) -> usize {
    let lead_state = shared.lead_state.borrow();
    acting_rank(&shared.settings.host, lead_state.members.keys())
}

/// Returns how long this host waits for those before it in the order to act.
fn rank_delay<P: Platform>(shared: &Shared<P>, now: Monotonic) -> Duration {
    let lead_state = shared.lead_state.borrow();
    let before = acting_rank(&shared.settings.host, lead_state.members.keys());
    let delay = RANK_DELAY * u32::try_from(before).unwrap_or(u32::MAX);
    if lead_state.proof.knows_all_hosts(now) {
        delay
    } else {
        delay + INCOMPLETE_LIST_DELAY
    }
}
