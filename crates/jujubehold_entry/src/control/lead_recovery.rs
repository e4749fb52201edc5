//! Records the leads anew after the store was restored from a copy.
//!
//! The restored table may be older than what the hosts know, and gives no proof. Until one host has
//! recorded the leads in the store's present era, hosts that ran before the restore go on with the
//! leads that they know, as while the store is unavailable. See docs/notes/store-restore.md.

use std::collections::{BTreeMap, BTreeSet};

use jujubehold_core::connection_purpose::ConnectionPurpose;
use jujubehold_core::first_records::MAX_FIRST_RECORDS;
use jujubehold_core::lead_recovery::{InstanceReport, recovered_lead};
use jujubehold_core::lead_table::{Lead, LeadTable};
use jujubehold_core::primary_watchers::acting_rank;
use jujubehold_core::store_version::StoreEra;
use log::{info, warn};

use super::peers::Peers;
use super::primary_keeper::RANK_DELAY;
use super::status_calls::query_status;
use super::table_access::commit_table;
use crate::pool::Upstream;
use crate::prelude::*;
use crate::shared::millis;

/// For how long a host that was listed before the restore counts among those that record the leads.
const FORMER_HOST_WINDOW: Duration = Duration::from_secs(4);
/// How long an instance that does not answer is waited for: as long as the entries of instances take
/// to return after a restore.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(2_600);

/// Decides when this host records the leads anew.
#[derive(Debug, Default)]
pub(super) struct LeadRecovery {
    /// The era in which that is needed, and since when this host has seen so.
    pending: Option<(StoreEra, Monotonic)>,
}

/// The leads to be recorded.
struct RecoveredLeads {
    leads: BTreeMap<ServiceId, Lead>,
    /// Whether every instance has answered.
    is_complete: bool,
}

impl LeadRecovery {
    /// Records the leads if that is due and this host's turn.
    pub(super) async fn check<P: Platform>(&mut self, shared: &Rc<Shared<P>>, peers: &Peers) {
        let now = shared.now();
        let era = {
            let lead_state = shared.lead_state.borrow();
            lead_state.needs_recovery().then_some(lead_state.era)
        };
        let Some(era) = era else {
            self.pending = None;
            return;
        };
        let pending = self.pending.filter(|(pending_era, _)| *pending_era == era);
        let (_, since) = *self.pending.insert(pending.unwrap_or((era, now)));
        let waited = now.saturating_sub(since);
        if is_due(shared, waited) {
            record_leads(shared, peers, era, waited >= ANSWER_TIMEOUT).await;
        }
    }
}

// A host that ran before the restore knows the leads of that time. One that did not leaves it to the
// others, and begins once it certainly knows all instances.
fn is_due<P: Platform>(shared: &Shared<P>, waited: Duration) -> bool {
    let lead_state = shared.lead_state.borrow();
    let since = shared.now().saturating_sub(FORMER_HOST_WINDOW);
    let rank = acting_rank(&shared.settings.host, &lead_state.listed_since(since));
    let delay = RANK_DELAY * u32::try_from(rank).unwrap_or(u32::MAX);
    let knows_leads = !lead_state.table.leads.is_empty();
    waited >= delay && (knows_leads || shared.is_directory_complete())
}

async fn record_leads<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Peers,
    era: StoreEra,
    accepts_missing_answers: bool,
) {
    let restored = shared.lead_state.borrow().restored_table.clone();
    let Some(restored) = restored else {
        return;
    };
    let recovered = recover_leads(shared, &restored).await;
    if !recovered.is_complete && !accepts_missing_answers {
        return;
    }
    let table = LeadTable {
        revision: restored.revision,
        leads: recovered.leads,
        ..LeadTable::default()
    };
    // After another restore the answers may be outdated. If another host was faster, the write
    // conflicts, and the next read of the store shows its table.
    if shared.lead_state.borrow().era != era || commit_table(shared, &table).await.is_none() {
        return;
    }
    log_leads(shared, &table, recovered.is_complete);
    peers.send_table(shared);
}

fn log_leads<P: Platform>(shared: &Shared<P>, table: &LeadTable, is_complete: bool) {
    let now_ms = millis(shared.now());
    let changing = table.leads.values().filter(|lead| lead.change.is_some());
    info!(services = table.leads.len(), changing = changing.count(), is_complete, now_ms;
        "leads recorded anew after a restore of the store");
}

async fn recover_leads<P: Platform>(
    shared: &Rc<Shared<P>>,
    restored: &LeadTable,
) -> RecoveredLeads {
    let known = shared.lead_state.borrow().table.leads.clone();
    let services: BTreeSet<_> = known.keys().chain(restored.leads.keys()).cloned().collect();
    let services: Vec<_> = services.into_iter().collect();
    let mut recovered = RecoveredLeads {
        leads: BTreeMap::new(),
        is_complete: true,
    };
    // Each instance is asked over a connection.
    for batch in services.chunks(MAX_FIRST_RECORDS) {
        let questions: Vec<_> = batch
            .iter()
            .map(|service| {
                let tables = [&known, &restored.leads];
                let records = tables.iter().filter_map(|leads| leads.get(service));
                let records: Vec<_> = records.cloned().collect();
                let question = recover_lead(Rc::clone(shared), service.clone(), records);
                (service, actix_rt::spawn(question))
            })
            .collect();
        for (service, question) in questions {
            let Ok((lead, is_complete)) = question.await else {
                recovered.is_complete = false;
                continue;
            };
            recovered.is_complete &= is_complete;
            recovered
                .leads
                .extend(lead.map(|lead| (service.clone(), lead)));
        }
    }
    recovered
}

// Returns the lead, and whether every instance of the service has answered.
async fn recover_lead<P: Platform>(
    shared: Rc<Shared<P>>,
    service: ServiceId,
    records: Vec<Lead>,
) -> (Option<Lead>, bool) {
    let upstreams = shared.upstreams_of(&service);
    let mut is_complete = records.iter().all(|lead| {
        let mut ids = upstreams.iter().map(|upstream| upstream.id());
        ids.any(|id| id == lead.primary)
    });
    let questions: Vec<_> = upstreams
        .into_iter()
        .map(|upstream| actix_rt::spawn(report(upstream)))
        .collect();
    let mut reports = Vec::new();
    for question in questions {
        match question.await {
            Ok(Some(report)) => reports.push(report),
            Ok(None) | Err(_) => is_complete = false,
        }
    }
    let lead = recovered_lead(&shared.settings.host, &records, &reports);
    if let Some(lead) = lead.as_ref().filter(|lead| lead.change.is_some()) {
        log_uncertain_lead(&service, lead, &reports);
    }
    (lead, is_complete)
}

fn log_uncertain_lead(service: &str, lead: &Lead, reports: &[InstanceReport]) {
    let reports: Vec<_> = reports.iter().map(describe).collect();
    warn!(service, primary = lead.primary.as_str(), term = lead.term,
        reports = reports.join(", ").as_str();
        "the primary is not certain after a restore of the store");
}

fn describe(report: &InstanceReport) -> String {
    let InstanceReport {
        instance,
        role,
        term,
        is_marked,
    } = report;
    let mark = if *is_marked { " marked" } else { "" };
    format!("{instance} {} of term {term}{mark}", role.as_str())
}

async fn report<P: Platform>(upstream: Rc<Upstream<P>>) -> Option<InstanceReport> {
    let status = query_status(&upstream, ConnectionPurpose::Status).await?;
    Some(InstanceReport {
        instance: upstream.id(),
        role: status.role,
        term: status.term,
        is_marked: status.role == Role::Replica && !status.is_unmarked_replica(),
    })
}
