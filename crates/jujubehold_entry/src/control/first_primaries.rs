//! Records the primaries of services that have none on record.

use jujubehold_core::connection_purpose::ConnectionPurpose;
use jujubehold_core::lead_table::Lead;
use log::info;

use super::peers::Peers;
use super::status_calls::query_status;
use super::table_access::{commit_table, refresh_table};
use crate::prelude::*;
use crate::protocol::InstanceEntry;

/// Returns whether the list has one instance of `service` that says that it is the primary.
///
/// If two say so, their terms must decide. That requires a change of primary, which needs a recorded
/// primary first.
pub(super) fn has_claimed_primary<P: Platform>(shared: &Shared<P>, service: &ServiceId) -> bool {
    claimed_primary(shared, service).is_some()
}

/// Records the listed primaries of `services` with one change of the table.
pub(super) async fn record_first_primaries<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    services: &[ServiceId],
) {
    let questions: Vec<_> = services
        .iter()
        .map(|service| actix_rt::spawn(first_lead(Rc::clone(shared), service.clone())))
        .collect();
    let mut leads = Vec::new();
    for (service, question) in services.iter().zip(questions) {
        if let Ok(Some(lead)) = question.await {
            leads.push((service.clone(), lead));
        }
    }
    let table = {
        let lead_state = shared.lead_state.borrow();
        // Another host may have recorded some in the meantime.
        leads.retain(|(service, _)| !lead_state.table.leads.contains_key(service));
        lead_state.table.with_leads(leads.iter().cloned())
    };
    if leads.is_empty() {
        return;
    }
    let Some(revision) = commit_table(shared, &table).await else {
        refresh_table(shared).await;
        return;
    };
    for (service, lead) in &leads {
        info!(service = service.as_str(), primary = lead.primary.as_str(), term = lead.term,
            revision; "first primary recorded");
    }
    peers.send_table(shared);
}

// Without an answer the term stays unknown: the primary may be lost already, and has to be on record
// before it can be replaced. An instance that answers that it is a replica has an outdated entry.
async fn first_lead<P: Platform>(shared: Rc<Shared<P>>, service: ServiceId) -> Option<Lead> {
    let primary = claimed_primary(&shared, &service)?;
    let status = match shared.upstream(&primary.id) {
        Some(upstream) => query_status(&upstream, ConnectionPurpose::Status).await,
        None => None,
    };
    if status
        .as_ref()
        .is_some_and(|status| status.role != Role::Primary)
    {
        return None;
    }
    Some(Lead {
        primary: primary.id,
        term: status.map(|status| status.term).unwrap_or_default(),
        change: None,
    })
}

fn claimed_primary<P: Platform>(shared: &Shared<P>, service: &ServiceId) -> Option<InstanceEntry> {
    let upstreams = shared.upstreams_of(service);
    let entries = upstreams.iter().map(|upstream| upstream.entry());
    let mut primaries = entries.filter(|entry| entry.role == Role::Primary);
    let primary = primaries.next();
    primary.filter(|_| primaries.next().is_none())
}
