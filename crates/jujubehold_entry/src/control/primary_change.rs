//! Replaces a primary.
//!
//! 1. The change is announced in the table of leads. From then on no host begins anything at the
//!    old primary, and only the host that announced it may order a promotion. Every host is asked
//!    to stop.
//! 2. A primary that leaves by plan is made a replica as soon as the hosts have stopped, and a
//!    replica is waited for that has all of its log.
//! 3. The replica that received most is marked, which hosts that are cut off from the store see.
//! 4. Hosts that have not stopped are waited for until their proof of the old table must have
//!    lapsed.
//! 5. The marked replica is promoted, and put on record when it leads.
//!
//! See docs/notes/platform-path.md.

use std::collections::BTreeSet;

use bytes::Bytes;
use jujubehold_core::candidate_choice::{CandidateChoice, CandidateStatus, choose_candidate};
use jujubehold_core::lead_proof::LeadProofSettings;
use jujubehold_core::lead_table::{Lead, LeadChange, LeadTable, Revision};
use jujubehold_core::replica_evidence::is_unmarked_replica;
use jujubehold_core::stop_wait::StopWait;
use log::{info, warn};
use metrics::counter;
use smol_str::{SmolStr, format_smolstr};
use tokio::task::JoinHandle;

use super::lead_document::{format_leads, parse_leads};
use super::peers::{Peers, stop};
use super::primary_keeper::{ChangeReason, commit_table, duty_key};
use super::status_calls::{mark, resume, status, step_down};
use super::store_calls::{CALL_TIMEOUT, within};
use super::{HOSTS_PREFIX, LEAD_KEY};
use crate::metric_names::PRIMARY_CHANGES;
use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{
    Committed, InstanceLifecycle, PromotionCall, PromotionOrder, PromotionOutcome, StatusReport,
    Store, StoreChange, StoreError,
};
use crate::shared::millis;

/// How often hosts that have not answered are asked again to stop.
const STOP_INTERVAL: Duration = Duration::from_millis(60);
/// How often answers are looked at meanwhile.
const STOP_LOOK: Duration = Duration::from_millis(10);
/// How long hosts may take to end what they run at a primary that leaves by plan.
const END_OF_WORK_WAIT: Duration = Duration::from_millis(1_100);
/// How long a promotion order may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// How old the proof may be that this host still makes the change when it gives the order.
const ORDER_PROOF_AGE: Duration = Duration::from_millis(300);
/// How long a whole change may take before another host may begin it anew.
const CHANGE_LIMIT: Duration = Duration::from_secs(20);
/// How long a promoted instance may take to lead.
const LEAD_WAIT: Duration = Duration::from_secs(3);
/// How often it is asked whether it leads.
const LEAD_LOOK: Duration = Duration::from_millis(25);
/// How long a replica may take to receive what a primary that left by plan had.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1_200);
/// The pause between failed steps.
const STEP_PAUSE: Duration = Duration::from_millis(100);
/// How often an announcement is tried whose answer was lost.
const ANNOUNCE_TRIES: u32 = 5;

/// A change that was announced.
#[derive(Debug)]
struct Announced {
    service: ServiceId,
    old: InstanceId,
    revision: Revision,
    fencing_token: Revision,
    is_planned: bool,
    since: Monotonic,
}

/// Replaces the primary of `service`, or finishes what another host began.
pub(crate) async fn change_primary<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    service: &ServiceId,
    reason: ChangeReason,
) {
    let begun_at = shared.now();
    info!(service = service.as_str(), reason:? = reason, now_ms = millis(begun_at);
        "replacing a primary");
    let Some(announced) = announce(shared, service, reason).await else {
        return;
    };
    info!(service = service.as_str(), old = announced.old.as_str(),
        revision = announced.revision, fencing_token = announced.fencing_token;
        "change of primary announced");
    let limit = CHANGE_LIMIT;
    let finished = tokio::time::timeout(limit, finish(shared, peers, &announced)).await;
    let outcome = match finished {
        Ok(Some(primary)) => {
            let taken_ms = millis(shared.now().saturating_sub(begun_at));
            info!(service = service.as_str(), primary = primary.as_str(), taken_ms;
                "primary replaced");
            "replaced"
        }
        Ok(None) => "taken_over",
        Err(_) => "given_up",
    };
    if outcome != "replaced" {
        warn!(service = service.as_str(), outcome; "a change of primary ended");
    }
    counter!(PRIMARY_CHANGES, "service" => service.to_string(), "outcome" => outcome).increment(1);
}

async fn finish<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
) -> Option<InstanceId> {
    let asking = AbortOnDrop(actix_rt::spawn(ask_stop(
        Rc::clone(shared),
        Rc::clone(peers),
        announced.service.clone(),
        announced.revision,
    )));
    let least = if announced.is_planned {
        wait_for_end_of_work(shared, peers, announced).await?;
        fence_old(shared, announced).await
    } else {
        None
    };
    let primary = promote_one(shared, peers, announced, least).await?;
    drop(asking);
    record(shared, peers, announced, primary).await
}

/// Ends a task with its owner.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

// Hosts that have not answered are asked again.
async fn ask_stop<P: Platform>(
    shared: Rc<Shared<P>>,
    peers: Rc<Peers>,
    service: ServiceId,
    revision: Revision,
) {
    loop {
        let mut hosts = shared
            .lead
            .borrow()
            .others(&shared.settings.host, shared.now());
        for host in peers.stopped(&service, revision) {
            hosts.remove(&host);
        }
        peers.ask_stop(&shared, &service, &hosts);
        actix_rt::time::sleep(STOP_INTERVAL).await;
    }
}

/// Writes the announcement; `None` when another host was first or this one may not.
async fn announce<P: Platform>(
    shared: &Rc<Shared<P>>,
    service: &ServiceId,
    reason: ChangeReason,
) -> Option<Announced> {
    let table = shared.lead.borrow().table.clone();
    let lead = table.leads.get(service)?.clone();
    let is_planned = reason == ChangeReason::Leaving;
    let host = shared.settings.host.clone();
    let change = LeadChange {
        by: host.clone(),
        is_planned,
    };
    let new_lead = Lead {
        primary: lead.primary.clone(),
        change: Some(change),
    };
    let new_table = table.with_lead(service, new_lead);
    let own_key = shared.lead.borrow().membership.as_ref()?.key_revision;
    let duty = within(shared, "read", CALL_TIMEOUT, shared.store.read(&duty_key())).await;
    let (duty, _) = duty.ok()?;
    let holds_duty = duty
        .as_ref()
        .is_some_and(|item| *item.value == *host.as_bytes());
    let duty_revision = duty.map_or(0, |item| item.revision);
    let mut store_change = StoreChange {
        expected: vec![
            (SmolStr::new(LEAD_KEY), table.revision),
            (format_smolstr!("{HOSTS_PREFIX}{host}"), own_key),
            (duty_key(), duty_revision),
        ],
        writes: vec![(SmolStr::new(LEAD_KEY), format_leads(&new_table), None)],
    };
    if !holds_duty {
        let value = Bytes::copy_from_slice(host.as_bytes());
        store_change.writes.push((duty_key(), value, None));
    }
    let revision = commit_announcement(shared, &store_change, &new_table).await?;
    shared.adopt_table(LeadTable {
        revision,
        ..new_table
    });
    Some(Announced {
        service: service.clone(),
        old: lead.primary,
        revision,
        fencing_token: if holds_duty { duty_revision } else { revision },
        is_planned,
        since: shared.now(),
    })
}

// A lost answer is told from a lost change by reading back. The same change can be made only once,
// since it moves the revision that it expects.
async fn commit_announcement<P: Platform>(
    shared: &Shared<P>,
    change: &StoreChange,
    table: &LeadTable,
) -> Option<Revision> {
    for _ in 0..ANNOUNCE_TRIES {
        let commit = shared.store.commit(change);
        match within(shared, "commit", CALL_TIMEOUT, commit).await {
            Ok(Committed::Made(revision)) => return Some(revision),
            Ok(Committed::Conflict) => return read_back(shared, table).await.ok()?,
            Err(StoreError::Refused { .. }) => return None,
            Err(_) => match read_back(shared, table).await {
                Ok(Some(revision)) => return Some(revision),
                Ok(None) | Err(_) => actix_rt::time::sleep(STEP_PAUSE).await,
            },
        }
    }
    None
}

/// The revision of `table`, if the store has just that one.
async fn read_back<P: Platform>(
    shared: &Shared<P>,
    table: &LeadTable,
) -> Result<Option<Revision>, StoreError> {
    let call = shared.store.read(LEAD_KEY);
    let (item, _) = within(shared, "read_lead", CALL_TIMEOUT, call).await?;
    Ok(item
        .filter(|item| item.revision > table.revision && item.value == format_leads(table))
        .map(|item| item.revision))
}

/// Waits until every host has ended what it runs at a primary that leaves by plan, or until that
/// has taken too long; `None` when the change was taken over.
async fn wait_for_end_of_work<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
) -> Option<()> {
    let give_up_at = announced.since + END_OF_WORK_WAIT;
    while shared.now() < give_up_at {
        if !is_current(shared, announced) {
            return None;
        }
        let stopped = peers.stopped(&announced.service, announced.revision);
        let others = shared
            .lead
            .borrow()
            .others(&shared.settings.host, shared.now());
        if stop(shared, &announced.service) && others.is_subset(&stopped) {
            return Some(());
        }
        actix_rt::time::sleep(STOP_LOOK).await;
    }
    Some(())
}

/// Waits until no host can use the old primary; `None` when the change was taken over.
async fn wait_for_stop<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
    wait: &mut StopWait,
) -> Option<()> {
    loop {
        if !is_current(shared, announced) {
            return None;
        }
        let now = shared.now();
        for host in peers.stopped(&announced.service, announced.revision) {
            wait.note_stopped(&host);
        }
        if stop(shared, &announced.service) && wait.is_over(now) {
            let waited_ms = millis(now.saturating_sub(announced.since));
            let silent = wait.waited_for().len();
            info!(service = announced.service.as_str(), waited_ms, silent;
                "the old primary is not used any more");
            return Some(());
        }
        actix_rt::time::sleep(STOP_LOOK).await;
    }
}

/// The wait for every host that may still use the old primary.
///
/// Those are the hosts that were listed at any time from which the replicas' word may have carried
/// them on. Where this host can't be sure to know all of them, every window is waited out.
async fn begin_wait<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
    begun_at: Monotonic,
) -> StopWait {
    let settings = LeadProofSettings::default();
    let knows_before = {
        let state = shared.lead.borrow();
        state.proof.knows_all_hosts(announced.since)
    };
    let listed = listed_hosts(shared).await;
    let knows_all = knows_before && listed.is_some();
    let mut hosts = listed.unwrap_or_default();
    let state = shared.lead.borrow();
    hosts.extend(state.others(&shared.settings.host, announced.since));
    hosts.remove(&shared.settings.host);
    StopWait::new(settings, begun_at, hosts, knows_all)
}

async fn listed_hosts<P: Platform>(shared: &Shared<P>) -> Option<BTreeSet<HostId>> {
    let listing = shared.store.list(HOSTS_PREFIX);
    match within(shared, "list", CALL_TIMEOUT, listing).await {
        Ok(listing) => {
            let keys = listing.items.iter();
            let hosts = keys.filter_map(|item| item.key.strip_prefix(HOSTS_PREFIX));
            Some(hosts.map(HostId::from).collect())
        }
        Err(error) => {
            warn!(error:% = error; "the hosts can't be listed for a change of primary");
            None
        }
    }
}

/// Makes the old primary a replica, where it can be reached; returns what it had received if it
/// leaves by plan and all of that should be kept.
async fn fence_old<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
) -> Option<LogPosition> {
    let old = shared.upstream(&announced.old)?;
    if !announced.is_planned && old.health.borrow().silent_since().is_some() {
        // It gives no answer; whoever reaches it later finds it replaced.
        return None;
    }
    let report = status(&old).await?;
    if report.role == Role::Replica {
        return None;
    }
    let report = step_down(&old, report.term + 1).await?;
    info!(instance = announced.old.as_str(), received:% = report.received;
        "the old primary stepped down");
    announced.is_planned.then_some(report.received)
}

/// Promotes a replica and waits until it leads; `None` when the change was taken over.
async fn promote_one<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
    least: Option<LogPosition>,
) -> Option<InstanceId> {
    let mut wait = None;
    let mut marked: Option<InstanceId> = None;
    let catch_up_until = shared.now() + CATCH_UP_WAIT;
    loop {
        if !is_current(shared, announced) {
            return None;
        }
        let statuses = ask_all(shared, announced).await;
        let chosen = match choose_candidate(&announced.old, &statuses) {
            CandidateChoice::Leads(instance) => {
                // Whoever promoted it waited for the hosts before it gave the order.
                return Some(instance);
            }
            CandidateChoice::Promote(instance) => instance,
            CandidateChoice::None => {
                actix_rt::time::sleep(STEP_PAUSE).await;
                continue;
            }
        };
        // One that is marked receives nothing, and stays the choice while it answers.
        let chosen = marked
            .clone()
            .filter(|marked| statuses.iter().any(|status| status.instance == *marked))
            .unwrap_or(chosen);
        let has_caught_up = least.is_none_or(|least| {
            let received = statuses.iter().find(|status| status.instance == chosen);
            received.is_some_and(|status| status.received >= least)
        });
        let may_go_on = has_all_answers(shared, announced, &statuses)
            && (has_caught_up || shared.now() >= catch_up_until);
        if !may_go_on {
            actix_rt::time::sleep(LEAD_LOOK).await;
            continue;
        }
        let Some(marked_at) = keep_mark(shared, &chosen, &statuses).await else {
            marked = None;
            actix_rt::time::sleep(STEP_PAUSE).await;
            continue;
        };
        marked = Some(chosen.clone());
        let wait = match &mut wait {
            Some(wait) => wait,
            None => wait.insert(begin_wait(shared, announced, announced.since).await),
        };
        if let Some(marked_at) = marked_at {
            wait.begin_again(marked_at);
        }
        wait_for_stop(shared, peers, announced, wait).await?;
        if is_marked(shared, &chosen).await
            && order(shared, announced, &chosen).await?
            && leads_soon(shared, &chosen).await
        {
            resume_others(shared, announced, &chosen);
            return Some(chosen);
        }
        actix_rt::time::sleep(STEP_PAUSE).await;
    }
}

/// Marks a replica unless it is marked; when it was marked now, that is when.
async fn keep_mark<P: Platform>(
    shared: &Rc<Shared<P>>,
    instance: &InstanceId,
    statuses: &[CandidateStatus],
) -> Option<Option<Monotonic>> {
    let status = statuses
        .iter()
        .find(|status| status.instance == *instance)?;
    if !status.is_unmarked {
        return Some(None);
    }
    let upstream = shared.upstream(instance)?;
    let newest_term = statuses.iter().map(|status| status.received.term).max()?;
    let term = newest_term.max(status.term) + 1;
    let report = mark(&upstream, term).await?;
    let is_marked = !is_unmarked_replica(report.role, report.term, report.held_term);
    is_marked.then(|| Some(shared.now()))
}

// A replica that was started again has lost its mark, and hosts may have seen it without.
async fn is_marked<P: Platform>(shared: &Rc<Shared<P>>, instance: &InstanceId) -> bool {
    let Some(upstream) = shared.upstream(instance) else {
        return false;
    };
    let report = status(&upstream).await;
    report.is_some_and(|report| !is_unmarked_replica(report.role, report.term, report.held_term))
}

// Marks of an earlier try would keep replicas from receiving.
fn resume_others<P: Platform>(shared: &Rc<Shared<P>>, announced: &Announced, primary: &InstanceId) {
    for upstream in shared.upstreams_of(&announced.service) {
        if upstream.id() == *primary {
            continue;
        }
        actix_rt::spawn(async move {
            let report = status(&upstream).await;
            let is_marked = report.is_some_and(|report| {
                report.role == Role::Replica && report.held_term > report.term
            });
            if is_marked && resume(&upstream).await.is_none() {
                warn!(instance = upstream.id().as_str(); "a mark could not be taken off");
            }
        });
    }
}

// Where replicas confirm commits, one that gives no answer may be the only one that has an
// acknowledged commit.
fn has_all_answers<P: Platform>(
    shared: &Shared<P>,
    announced: &Announced,
    statuses: &[CandidateStatus],
) -> bool {
    let configuration = shared.configuration.borrow();
    let limits = configuration
        .as_ref()
        .and_then(|configuration| configuration.services.get(&announced.service).cloned());
    let confirming = limits.map_or(0, |limits| limits.sync_replicas);
    if confirming == 0 {
        return true;
    }
    let others = shared
        .upstreams_of(&announced.service)
        .iter()
        .filter(|upstream| upstream.id() != announced.old)
        .count();
    let confirming = usize::try_from(confirming).unwrap_or(usize::MAX);
    statuses.len() + confirming > others
}

async fn ask_all<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
) -> Vec<CandidateStatus> {
    let mut asked = Vec::new();
    for upstream in shared.upstreams_of(&announced.service) {
        if upstream.id() != announced.old {
            let asked_at = shared.now();
            let task = actix_rt::spawn(async move {
                let report = status(&upstream).await;
                (upstream, report)
            });
            asked.push((asked_at, task));
        }
    }
    let mut statuses = Vec::new();
    for (asked_at, task) in asked {
        if let Ok((upstream, Some(report))) = task.await {
            statuses.push(candidate(&upstream, &report, asked_at));
        }
    }
    statuses
}

fn candidate<P: Platform>(
    upstream: &Upstream<P>,
    report: &StatusReport,
    asked_at: Monotonic,
) -> CandidateStatus {
    let entry = upstream.entry();
    CandidateStatus {
        instance: entry.id,
        role: report.role,
        received: report.received,
        term: report.term,
        is_unmarked: is_unmarked_replica(report.role, report.term, report.held_term),
        is_leaving: entry.lifecycle == InstanceLifecycle::Leaving,
        asked_at,
    }
}

/// Orders a promotion; whether it was taken, and `None` when the change was taken over.
///
/// The store is asked once more who makes the change, and the order goes out only shortly after: a
/// host that was suspended in between must not give an order that a later one has overtaken.
async fn order<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
    instance: &InstanceId,
) -> Option<bool> {
    let asked_at = shared.now();
    let call = shared.store.read(LEAD_KEY);
    let read = within(shared, "read_lead", CALL_TIMEOUT, call).await;
    let Ok((Some(item), _)) = read else {
        return Some(false);
    };
    if let Some(table) = parse_leads(&item.value, item.revision) {
        shared.adopt_table(table);
    }
    if !is_current(shared, announced) {
        return None;
    }
    let order = PromotionOrder {
        service: announced.service.clone(),
        instance: instance.clone(),
        host: shared.settings.host.clone(),
        fencing_token: announced.fencing_token,
    };
    if shared.now().saturating_sub(asked_at) > ORDER_PROOF_AGE {
        return Some(false);
    }
    let outcome = shared.promotion.promote(&order, ORDER_TIMEOUT).await;
    info!(service = announced.service.as_str(), instance = instance.as_str(),
        fencing_token = announced.fencing_token, outcome:? = outcome, now_ms = millis(shared.now());
        "promotion ordered");
    Some(match outcome {
        // Whether an order without an answer was taken, the instance itself tells.
        PromotionOutcome::Taken | PromotionOutcome::Unknown => true,
        PromotionOutcome::Refused | PromotionOutcome::Unavailable => false,
    })
}

async fn leads_soon<P: Platform>(shared: &Rc<Shared<P>>, instance: &InstanceId) -> bool {
    let give_up_at = shared.now() + LEAD_WAIT;
    while shared.now() < give_up_at {
        let Some(upstream) = shared.upstream(instance) else {
            return false;
        };
        let report = status(&upstream).await;
        if report.is_some_and(|report| report.role == Role::Primary) {
            return true;
        }
        actix_rt::time::sleep(LEAD_LOOK).await;
    }
    false
}

/// Puts the new primary on record; `None` when the change was taken over.
async fn record<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
    primary: InstanceId,
) -> Option<InstanceId> {
    while is_current(shared, announced) {
        let lead = Lead {
            primary: primary.clone(),
            change: None,
        };
        let table = shared
            .lead
            .borrow()
            .table
            .with_lead(&announced.service, lead);
        if commit_table(shared, &table).await.is_some() {
            peers.tell_table(shared);
            return Some(primary);
        }
        // Another service's change may have moved the table, or the answer was lost.
        refresh(shared).await;
        let is_done = {
            let state = shared.lead.borrow();
            state.table.usable_primary(&announced.service) == Some(&primary)
        };
        if is_done {
            peers.tell_table(shared);
            return Some(primary);
        }
        actix_rt::time::sleep(STEP_PAUSE).await;
    }
    None
}

async fn refresh<P: Platform>(shared: &Shared<P>) {
    let call = shared.store.read(LEAD_KEY);
    // A failure is logged with the store's health; the next round asks again.
    if let Ok((Some(item), _)) = within(shared, "read_lead", CALL_TIMEOUT, call).await
        && let Some(table) = parse_leads(&item.value, item.revision)
    {
        shared.adopt_table(table);
    }
}

/// Whether this host still makes the change, as far as it knows.
fn is_current<P: Platform>(shared: &Shared<P>, announced: &Announced) -> bool {
    let state = shared.lead.borrow();
    let Some(lead) = state.table.leads.get(&announced.service) else {
        return false;
    };
    lead.primary == announced.old
        && lead
            .change
            .as_ref()
            .is_some_and(|change| change.by == shared.settings.host)
}
