//! While the store is unavailable, queries the replicas for evidence that no host is replacing
//! their primary.

use std::collections::BTreeSet;

use jujubehold_core::connection_purpose::ConnectionPurpose;

use super::status_calls::query_status;
use crate::pool::Upstream;
use crate::prelude::*;

/// How often the replicas are queried: a query takes a slot, and several fit in a proof window.
const QUERY_INTERVAL: Duration = Duration::from_millis(600);

/// Collects evidence from the replicas while the store does not answer, until the future is
/// dropped.
pub(crate) async fn collect_evidence<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        actix_rt::time::sleep(QUERY_INTERVAL).await;
        let needs_evidence = shared
            .lead_state
            .borrow()
            .proof
            .needs_evidence(shared.now());
        if !needs_evidence {
            continue;
        }
        let services: Vec<ServiceId> = {
            let lead_state = shared.lead_state.borrow();
            lead_state.table.leads.keys().cloned().collect()
        };
        for service in services {
            query_replicas(&shared, &service);
        }
    }
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
