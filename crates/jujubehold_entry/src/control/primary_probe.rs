//! Keeps the primaries' positions fresh and detects when a primary does not answer.
//!
//! Regular traffic does both. Without traffic, a command that takes no slot is sent.

use jujubehold_core::connection_purpose::ConnectionPurpose;
use jujubehold_core::position_demand::{PositionDemand, PositionDemandSettings};
use jujubehold_core::primary_watchers::WatcherTerm;

use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::UpstreamCommand;
use crate::shared::Shared;

/// How often the primaries are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// How long a host that has just joined leaves probing to another host: many hosts that start
/// together would otherwise use up the primaries' slots.
const JOIN_PROBE_DELAY: Duration = Duration::from_millis(200);
/// The pause after a probe that got no connection: the primary accepts no more at the moment, and
/// each attempt takes some of its time.
const NO_CONNECTION_PAUSE: Duration = Duration::from_millis(300);
/// The timeout for a primary to answer a probe.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Probes the primaries until the future is dropped.
pub(crate) async fn maintain_positions<P: Platform>(shared: Rc<Shared<P>>) {
    let mut watcher_term = WatcherTerm::default();
    loop {
        let tick = actix_rt::time::sleep(CHECK_INTERVAL);
        tick.await;
        watcher_term.note(shared.now(), shared.is_watcher());
        let services: Vec<ServiceId> = {
            let lead_state = shared.lead_state.borrow();
            lead_state.table.leads.keys().cloned().collect()
        };
        let has_source = shared.proof_source().is_some();
        if has_source && has_just_joined(&shared) {
            continue;
        }
        let host_count = shared.lead_state.borrow().members.len();
        let is_watcher = watcher_term.probes_primaries(shared.now(), host_count);
        for service in services {
            check_service(&shared, &service, has_source, is_watcher);
        }
    }
}

fn has_just_joined<P: Platform>(shared: &Shared<P>) -> bool {
    let joined_at = {
        let lead_state = shared.lead_state.borrow();
        lead_state.membership.as_ref().map(|own| own.joined_at)
    };
    joined_at.is_some_and(|joined_at| shared.now().saturating_sub(joined_at) < JOIN_PROBE_DELAY)
}

fn check_service<P: Platform>(
    shared: &Rc<Shared<P>>,
    service: &ServiceId,
    has_source: bool,
    is_watcher: bool,
) {
    let now = shared.now();
    let primary = {
        let lead_state = shared.lead_state.borrow();
        let id = lead_state.table.usable_primary(service).cloned();
        id.and_then(|id| shared.upstream(&id))
    };
    let Some(primary) = primary else {
        return;
    };
    let is_due = shared.with_group(service, |group| {
        let newest = group
            .primary_positions
            .newest(group.primary_positions.term())
            .unwrap_or_default();
        let age = now.saturating_sub(newest);
        let demand = PositionDemand {
            is_watcher,
            has_source,
            wanted_at: group.position_wanted_at,
        };
        let is_old = demand.is_due(&PositionDemandSettings::default(), now, age);
        let is_due = (is_old || group.is_position_needed) && !group.is_probing;
        if is_due {
            group.is_probing = true;
            group.is_position_needed = false;
        }
        is_due
    });
    if is_due {
        actix_rt::spawn(probe(Rc::clone(shared), service.clone(), primary));
    }
}

async fn probe<P: Platform>(shared: Rc<Shared<P>>, service: ServiceId, primary: Rc<Upstream<P>>) {
    let sent_at = shared.now();
    let request = request_position(&primary);
    let result = tokio::time::timeout(PROBE_TIMEOUT, request).await;
    let now = shared.now();
    match result {
        Ok(Some(position)) => {
            primary.health.borrow_mut().note_alive(now);
            shared.note_position(&service, &primary.id(), sent_at, position);
        }
        Ok(None) => actix_rt::time::sleep(NO_CONNECTION_PAUSE).await,
        Err(_) => primary.health.borrow_mut().note_silent(now, sent_at),
    }
    shared.with_group(&service, |group| group.is_probing = false);
    shared.changed.notify_waiters();
}

// Returns `None` if there was no connection; the pool has recorded that.
async fn request_position<P: Platform>(primary: &Rc<Upstream<P>>) -> Option<Option<LogPosition>> {
    let mut lease = primary
        .acquire_for_control(ConnectionPurpose::Probe)
        .await
        .ok()?;
    let reply = lease.run_command(&UpstreamCommand::Reset).await.ok()?;
    lease.finish();
    Some(reply.position)
}
