//! Keeps the connection limits in step with the configuration and the list of hosts.

use crate::prelude::*;

/// How often limits and idle connections are looked at.
const KEEP_INTERVAL: Duration = Duration::from_millis(300);
/// How much more than an even share of an instance's connections one host may take: callers spread
/// unevenly over the hosts, and the instance refuses what is too much.
const SHARE_FACTOR: usize = 3;
/// Connections that are left to the others and to control, of those that an instance takes.
const RESERVED: usize = 2;

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
    let upstreams: Vec<_> = shared.upstreams.borrow().values().cloned().collect();
    for upstream in upstreams {
        let entry = upstream.entry();
        let limits = configuration.services.get(&entry.service);
        let max = limits.map_or(1, |limits| limits.max_connections);
        let max = usize::try_from(max).unwrap_or(usize::MAX);
        let lead = table.leads.get(&entry.service);
        let is_primary = lead.is_some_and(|lead| lead.primary == entry.id);
        upstream.keep(share(max, hosts), is_primary);
    }
}

fn share(max: usize, hosts: usize) -> usize {
    let most = max.saturating_sub(RESERVED).max(1);
    let even = (max / hosts).max(1);
    (even * SHARE_FACTOR).min(most)
}
