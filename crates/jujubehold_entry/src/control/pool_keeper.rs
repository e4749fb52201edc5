//! Updates the connection limits when the configuration or the list of hosts changes.

use std::collections::BTreeMap;

use jujubehold_core::connection_owners::{ConnectionOwners, control_connections as count_controls};
use jujubehold_core::connection_share::ConnectionShare;
use log::info;

use crate::pool::{OwnersBasis, Upstream};
use crate::prelude::*;
use crate::protocol::InstanceEntry;

/// How often limits and idle connections are updated.
const UPDATE_INTERVAL: Duration = Duration::from_millis(50);

/// Updates the limits until the future is dropped.
pub(crate) async fn maintain_pools<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        actix_rt::time::sleep(UPDATE_INTERVAL).await;
        update_limits(&shared);
    }
}

fn update_limits<P: Platform>(shared: &Shared<P>) {
    let Some(configuration) = shared.configuration.borrow().clone() else {
        return;
    };
    let (hosts, hosts_digest, table) = {
        let lead_state = shared.lead_state.borrow();
        let hosts = lead_state.members.len().max(1);
        (hosts, lead_state.members_digest, lead_state.table.clone())
    };
    // A host that reads for others also keeps the primaries' positions fresh for them.
    let reads_for_others = shared.proof_source().is_none();
    let is_watcher = shared.is_watcher();
    let upstreams: Vec<_> = shared.upstreams.borrow().values().cloned().collect();
    let controls = control_connections(shared);
    for upstream in upstreams {
        let entry = upstream.entry();
        let limits = configuration.services.get(&entry.service);
        let max = limits.map_or(1, |limits| limits.max_connections);
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let lead = table.leads.get(&entry.service);
        let is_primary = lead.is_some_and(|lead| lead.primary == entry.id);
        let basis = OwnersBasis {
            hosts_digest,
            max_connections: max,
            control_connections: if is_primary { controls } else { 0 },
        };
        if upstream.must_compute_owners(basis) {
            update_owners(shared, &upstream, &entry, basis);
        }
        let share = match upstream.owners() {
            Some(owners) if owners.is_owner(&shared.settings.host) => {
                ConnectionShare::of_owner(owners.share(&shared.settings.host))
            }
            Some(owners) => ConnectionShare::beside_owners(owners.share(&shared.settings.host)),
            None => ConnectionShare::new(max, hosts),
        };
        let owners = upstream.owners();
        let may_keep_control = owners.is_none_or(|owners| owners.leaves_control_connections());
        let needs_control = (reads_for_others || is_watcher) && may_keep_control;
        let keeps_one = is_primary && (share.may_keep_one || needs_control);
        upstream.apply_share(&share, keeps_one);
    }
}

// Returns how many hosts keep a connection for control calls to each primary.
fn control_connections<P: Platform>(shared: &Shared<P>) -> usize {
    let lead_state = shared.lead_state.borrow();
    let watchers = lead_state.primary_watchers();
    let mut readers = BTreeMap::new();
    for (host, member) in &lead_state.members {
        readers.entry(&member.domain).or_insert(host);
    }
    count_controls(watchers.iter(), readers.into_values())
}

fn owners<P: Platform>(
    shared: &Shared<P>,
    entry: &InstanceEntry,
    basis: OwnersBasis,
) -> Option<ConnectionOwners> {
    let lead_state = shared.lead_state.borrow();
    let members = lead_state.members.iter();
    let domain_hosts = members
        .filter(|(_, member)| member.domain == entry.domain)
        .map(|(host, _)| host);
    ConnectionOwners::new(
        &entry.service,
        &entry.id,
        domain_hosts,
        lead_state.members.len(),
        basis.max_connections,
        basis.control_connections,
    )
}

fn update_owners<P: Platform>(
    shared: &Shared<P>,
    upstream: &Upstream<P>,
    entry: &InstanceEntry,
    basis: OwnersBasis,
) {
    let owners = owners(shared, entry, basis);
    let host = &shared.settings.host;
    let was_owner = upstream.owners().is_some_and(|old| old.is_owner(host));
    let is_owner = owners.as_ref().is_some_and(|new| new.is_owner(host));
    let connections = owners.as_ref().map_or(0, |new| new.share(host));
    upstream.set_owners(owners);
    if was_owner != is_owner && shared.log.allows(shared.now()) {
        info!(instance = upstream.id().as_str(), is_owner, connections;
            "ownership of connections changed");
    }
}
