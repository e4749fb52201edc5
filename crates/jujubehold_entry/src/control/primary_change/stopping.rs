//! How hosts come to stop using the old primary, and how that is waited for.

use std::collections::BTreeSet;

use jujubehold_core::lead_proof::LeadProofSettings;
use jujubehold_core::lead_table::Revision;
use jujubehold_core::stop_wait::StopWait;
use log::{info, warn};

use super::super::HOSTS_PREFIX;
use super::super::peers::{Peers, stop};
use super::super::store_calls::{CALL_TIMEOUT, within};
use super::announce::{Announced, is_current};
use crate::prelude::*;
use crate::protocol::Store;
use crate::shared::millis;

/// How often hosts that have not answered are asked again to stop.
const STOP_INTERVAL: Duration = Duration::from_millis(60);
/// How often answers are looked at meanwhile.
const STOP_LOOK: Duration = Duration::from_millis(10);
/// How long hosts may take to end what they run at a primary that leaves by plan.
const END_OF_WORK_WAIT: Duration = Duration::from_millis(1_100);

// Hosts that have not answered are asked again.
pub(super) async fn ask_stop<P: Platform>(
    shared: Rc<Shared<P>>,
    peers: Rc<Peers>,
    service: ServiceId,
    revision: Revision,
) {
    loop {
        let mut hosts = shared
            .lead
            .borrow()
            .others(&shared.settings.host, shared.now());
        for host in peers.stopped(&service, revision) {
            hosts.remove(&host);
        }
        peers.ask_stop(&shared, &service, revision, &hosts);
        actix_rt::time::sleep(STOP_INTERVAL).await;
    }
}

/// Waits until every host has ended what it runs at a primary that leaves by plan, or until that
/// has taken too long; `None` when the change was taken over.
pub(super) async fn wait_for_end_of_work<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
) -> Option<()> {
    let give_up_at = announced.since + END_OF_WORK_WAIT;
    while shared.now() < give_up_at {
        if !is_current(shared, announced) {
            return None;
        }
        let stopped = peers.stopped(&announced.service, announced.revision);
        let others = shared
            .lead
            .borrow()
            .others(&shared.settings.host, shared.now());
        if stop(shared, &announced.service) && others.is_subset(&stopped) {
            return Some(());
        }
        actix_rt::time::sleep(STOP_LOOK).await;
    }
    Some(())
}

/// Waits until no host can use the old primary; `None` when the change was taken over.
pub(super) async fn wait_for_stop<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
    wait: &mut StopWait,
) -> Option<()> {
    loop {
        if !is_current(shared, announced) {
            return None;
        }
        let now = shared.now();
        for host in peers.stopped(&announced.service, announced.revision) {
            wait.note_stopped(&host);
        }
        if stop(shared, &announced.service) && wait.is_over(now) {
            let waited_ms = millis(now.saturating_sub(announced.since));
            let silent = wait.pending_hosts().len();
            info!(service = announced.service.as_str(), waited_ms, silent;
                "the old primary is not used any more");
            return Some(());
        }
        actix_rt::time::sleep(STOP_LOOK).await;
    }
}

/// The wait for every host that may still use the old primary.
///
/// Those are the hosts that were listed at any time from which the replicas' word may have carried
/// them on. Where this host can't be sure to know all of them, every window is waited out.
pub(super) async fn begin_wait<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
    begun_at: Monotonic,
) -> StopWait {
    let settings = LeadProofSettings::default();
    let knows_before = {
        let state = shared.lead.borrow();
        state.proof.knows_all_hosts(announced.since)
    };
    let listed = listed_hosts(shared).await;
    let knows_all = knows_before && listed.is_some();
    let mut hosts = listed.unwrap_or_default();
    let state = shared.lead.borrow();
    hosts.extend(state.others(&shared.settings.host, announced.since));
    hosts.remove(&shared.settings.host);
    StopWait::new(settings, begun_at, hosts, knows_all)
}

async fn listed_hosts<P: Platform>(shared: &Shared<P>) -> Option<BTreeSet<HostId>> {
    let listing = shared.store.list(HOSTS_PREFIX);
    match within(shared, "list", CALL_TIMEOUT, listing).await {
        Ok(listing) => {
            let keys = listing.items.iter();
            let hosts = keys.filter_map(|item| item.key.strip_prefix(HOSTS_PREFIX));
            Some(hosts.map(HostId::from).collect())
        }
        Err(error) => {
            warn!(error:% = error; "the hosts can't be listed for a change of primary");
            None
        }
    }
}
