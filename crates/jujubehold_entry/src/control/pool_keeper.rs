//! Keeps the connection limits in step with the configuration and the list of hosts.

use jujubehold_core::connection_share::ConnectionShare;

use crate::prelude::*;

/// How often limits and idle connections are looked at.
const KEEP_INTERVAL: Duration = Duration::from_millis(50);
/// Sets the limits again and again.
pub(crate) async fn keep_pools<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        actix_rt::time::sleep(KEEP_INTERVAL).await;
        keep_once(&shared);
    }
}

fn keep_once<P: Platform>(shared: &Shared<P>) {
    let Some(configuration) = shared.configuration.borrow().clone() else {
        return;
    };
    let (hosts, table) = {
        let lead = shared.lead.borrow();
        (lead.members.len().max(1), lead.table.clone())
    };
    // It keeps the primaries' positions fresh for the others, too.
    let reads_for_others = shared.proof_source().is_none();
    let upstreams: Vec<_> = shared.upstreams.borrow().values().cloned().collect();
    for upstream in upstreams {
        let entry = upstream.entry();
        let limits = configuration.services.get(&entry.service);
        let max = limits.map_or(1, |limits| limits.max_connections);
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let lead = table.leads.get(&entry.service);
        let is_primary = lead.is_some_and(|lead| lead.primary == entry.id);
        let share = ConnectionShare::new(max, hosts);
        let keeps_one = is_primary && (share.may_keep_one || reads_for_others);
        upstream.keep(&share, keeps_one);
    }
}
