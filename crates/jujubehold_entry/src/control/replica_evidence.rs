//! While the store is unavailable, queries the replicas for evidence that no host is replacing
//! their primary.

use std::collections::{BTreeMap, BTreeSet};

use jujubehold_core::connection_purpose::ConnectionPurpose;
use jujubehold_core::evidence_schedule::{EvidenceSchedule, EvidenceSettings};

use super::status_calls::query_status;
use crate::pool::Upstream;
use crate::prelude::*;

/// How often it is checked which replicas are queried. A request for a service that this host has not
/// used before waits for the next check.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Collects evidence from the replicas while the store does not answer, until the future is
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
            query_replicas(&shared, &service);
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

fn query_replicas<P: Platform>(shared: &Rc<Shared<P>>, service: &ServiceId) {
    for upstream in replicas(shared, service) {
        actix_rt::spawn(query_replica(Rc::clone(shared), service.clone(), upstream));
    }
}

async fn query_replica<P: Platform>(
    shared: Rc<Shared<P>>,
    service: ServiceId,
    upstream: Rc<Upstream<P>>,
) {
    let sent_at = shared.now();
    let Some(report) = query_status(&upstream, ConnectionPurpose::Evidence).await else {
        return;
    };
    let is_unmarked = report.is_unmarked_replica();
    let all: BTreeSet<_> = replicas(&shared, &service)
        .iter()
        .map(|upstream| upstream.id())
        .collect();
    let id = upstream.id();
    shared
        .lead_state
        .borrow_mut()
        .note_evidence(&service, &id, sent_at, is_unmarked, &all);
    shared.changed.notify_waiters();
}

fn replicas<P: Platform>(shared: &Shared<P>, service: &ServiceId) -> Vec<Rc<Upstream<P>>> {
    let primary = {
        let lead_state = shared.lead_state.borrow();
        lead_state
            .table
            .leads
            .get(service)
            .map(|lead| lead.primary.clone())
    };
    let mut upstreams = shared.upstreams_of(service);
    upstreams.retain(|upstream| Some(upstream.id()) != primary);
    upstreams
}
