//! While the store is unavailable, queries the instances for evidence that no host is replacing
//! their primary.

use std::collections::{BTreeMap, BTreeSet};

use jujubehold_core::connection_purpose::ConnectionPurpose;
use jujubehold_core::evidence_schedule::{EvidenceSchedule, EvidenceSettings};
use jujubehold_core::replica_evidence::confirms_lead;

use super::status_calls::query_status;
use crate::pool::Upstream;
use crate::prelude::*;

/// How often it is checked which instances are queried. A request for a service that this host has not
/// used before waits for the next check.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Collects evidence from the instances while the store does not answer, until the future is
/// dropped.
pub(crate) async fn collect_evidence<P: Platform>(shared: Rc<Shared<P>>) {
    let settings = EvidenceSettings::default();
    let mut schedule = EvidenceSchedule::default();
    loop {
        actix_rt::time::sleep(CHECK_INTERVAL).await;
        let needs_evidence = shared
            .lead_state
            .borrow()
            .proof
            .needs_evidence(shared.now());
        if !needs_evidence {
            continue;
        }
        let services = services_by_use(&shared);
        for service in schedule.due(&settings, shared.now(), &services) {
            query_instances(&shared, &service);
        }
    }
}

// Returns the services with a primary on record, and when this host last used each of them.
fn services_by_use<P: Platform>(shared: &Shared<P>) -> BTreeMap<ServiceId, Option<Monotonic>> {
    let lead_state = shared.lead_state.borrow();
    let groups = shared.groups.borrow();
    let used_at = |service: &ServiceId| {
        let group = groups.get(service)?;
        group.primary_wanted_at.max(group.position_wanted_at)
    };
    let services = lead_state.table.leads.keys();
    services
        .map(|service| (service.clone(), used_at(service)))
        .collect()
}

fn query_instances<P: Platform>(shared: &Rc<Shared<P>>, service: &ServiceId) {
    for upstream in shared.upstreams_of(service) {
        actix_rt::spawn(query_instance(Rc::clone(shared), service.clone(), upstream));
    }
}

async fn query_instance<P: Platform>(
    shared: Rc<Shared<P>>,
    service: ServiceId,
    upstream: Rc<Upstream<P>>,
) {
    let sent_at = shared.now();
    let Some(report) = query_status(&upstream, ConnectionPurpose::Evidence).await else {
        return;
    };
    let lead = shared
        .lead_state
        .borrow()
        .table
        .leads
        .get(&service)
        .cloned();
    let Some(lead) = lead else {
        return;
    };
    let id = upstream.id();
    let has_confirmed = confirms_lead(&lead, &id, report.role, report.term, report.held_term);
    let required = required_instances(&shared, &service, &lead.primary);
    shared
        .lead_state
        .borrow_mut()
        .note_evidence(&service, &id, sent_at, has_confirmed, &required);
    shared.changed.notify_waiters();
}

// Returns the instances that must confirm the primary; none if there is no replica that could be
// marked.
fn required_instances<P: Platform>(
    shared: &Shared<P>,
    service: &ServiceId,
    primary: &InstanceId,
) -> BTreeSet<InstanceId> {
    let upstreams = shared.upstreams_of(service);
    let mut required: BTreeSet<_> = upstreams.iter().map(|upstream| upstream.id()).collect();
    required.insert(primary.clone());
    if required.len() == 1 {
        required.clear();
    }
    required
}
