//! Finds out up to which position the hosts acknowledged commits before a change of primary.

use std::collections::BTreeMap;

use jujubehold_core::acknowledged_commits::{AcknowledgedCommits, AcknowledgementEvidence};
use jujubehold_core::stop_wait::StopWait;

use super::super::peers::{Peers, stop_using_primary};
use super::announce::AnnouncedChange;
use crate::prelude::*;

/// Returns a position up to which all acknowledged commits are; `None` if that is not known, or if a
/// host may still use the old primary.
pub(super) fn acknowledged_bound<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    announced: &AnnouncedChange,
    wait: &StopWait,
) -> Option<LogPosition> {
    if !wait.knows_all_hosts() || !stop_using_primary(shared, &announced.service) {
        return None;
    }
    let processes = processes(shared, wait)?;
    let statements = statements(shared, peers, announced);
    let unknown_until = shared.lead_state.borrow().unlisted_use_until();
    shared.with_group(&announced.service, |group| {
        let evidence = AcknowledgementEvidence {
            processes,
            statements: &statements,
            unknown_until,
            positions: &group.primary_positions,
            term: announced.old_term,
        };
        evidence.bound()
    })
}

// Returns the processes that have to state what they acknowledged. `None` if the store lists a host
// that this one does not know.
fn processes<P: Platform>(shared: &Shared<P>, wait: &StopWait) -> Option<BTreeMap<HostId, Nonce>> {
    let lead_state = shared.lead_state.borrow();
    let mut processes: BTreeMap<_, _> = lead_state
        .members
        .iter()
        .map(|(host, member)| (host.clone(), member.process))
        .collect();
    for host in wait.pending_hosts() {
        if !processes.contains_key(host) {
            let (member, _) = lead_state.recently_listed.get(host)?;
            processes.insert(host.clone(), member.process);
        }
    }
    processes.insert(shared.settings.host.clone(), shared.process);
    Some(processes)
}

fn statements<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    announced: &AnnouncedChange,
) -> BTreeMap<HostId, AcknowledgedCommits> {
    let mut statements = peers.acknowledged_commits(&announced.service, announced.version);
    let own = AcknowledgedCommits {
        process: shared.process,
        newest: shared.with_group(&announced.service, |group| group.acknowledged),
    };
    statements.insert(shared.settings.host.clone(), own);
    statements
}
