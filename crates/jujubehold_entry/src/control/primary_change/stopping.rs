//! Makes the hosts stop using the old primary, and waits until they have.

use std::collections::BTreeSet;

use jujubehold_core::lead_proof::LeadProofSettings;
use jujubehold_core::stop_wait::StopWait;
use jujubehold_core::store_version::StoreVersion;
use log::{info, warn};

use super::super::HOSTS_PREFIX;
use super::super::peers::{Peers, stop_using_primary};
use super::super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, transfer_with_timeout};
use super::announce::{AnnouncedChange, is_current};
use crate::prelude::*;
use crate::protocol::{CallProgress, Store};
use crate::shared::millis;

/// How often hosts that have not answered are asked again to stop.
const STOP_REQUEST_INTERVAL: Duration = Duration::from_millis(60);
/// How often received answers are checked.
const STOP_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// The timeout for hosts to complete their open work at the old primary of a planned change.
const OPEN_WORK_TIMEOUT: Duration = Duration::from_millis(1_100);

// Repeats the stop request to hosts that have not answered.
pub(super) async fn request_stop<P: Platform>(
    shared: Rc<Shared<P>>,
    peers: Rc<Peers>,
    service: ServiceId,
    announcement: StoreVersion,
) {
    loop {
        let mut hosts = shared
            .lead_state
            .borrow()
            .other_hosts(&shared.settings.host, shared.now());
        for host in peers.stopped_hosts(&service, announcement) {
            hosts.remove(&host);
        }
        peers.send_stop(&shared, &service, announcement, &hosts);
        actix_rt::time::sleep(STOP_REQUEST_INTERVAL).await;
    }
}

/// Waits until every host has completed its open work at the old primary of a planned change, or
/// until a timeout; `None` if another host took the change over.
pub(super) async fn wait_for_open_work<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
) -> Option<()> {
    let give_up_at = announced.announced_at + OPEN_WORK_TIMEOUT;
    while shared.now() < give_up_at {
        if !is_current(shared, announced) {
            return None;
        }
        let stopped = peers.stopped_hosts(&announced.service, announced.version);
        let others = shared
            .lead_state
            .borrow()
            .other_hosts(&shared.settings.host, shared.now());
        if stop_using_primary(shared, &announced.service) && others.is_subset(&stopped) {
            return Some(());
        }
        actix_rt::time::sleep(STOP_POLL_INTERVAL).await;
    }
    Some(())
}

/// Waits until no host can use the old primary; `None` if another host took the change over.
pub(super) async fn wait_for_stop<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
    wait: &mut StopWait,
) -> Option<()> {
    loop {
        if !is_current(shared, announced) {
            return None;
        }
        let now = shared.now();
        note_stopped_hosts(peers, announced, wait);
        if stop_using_primary(shared, &announced.service) && wait.is_over(now) {
            let waited_ms = millis(now.saturating_sub(announced.announced_at));
            let silent = wait.pending_hosts().len();
            info!(service = announced.service.as_str(), waited_ms, silent;
                "the old primary is no longer in use");
            return Some(());
        }
        actix_rt::time::sleep(STOP_POLL_INTERVAL).await;
    }
}

/// Records in `wait` which hosts have stopped using the old primary.
pub(super) fn note_stopped_hosts(peers: &Peers, announced: &AnnouncedChange, wait: &mut StopWait) {
    for host in peers.stopped_hosts(&announced.service, announced.version) {
        wait.note_stopped(&host);
    }
}

/// Starts the wait for every host that may still use the old primary.
///
/// These are the hosts that were listed at any time from which evidence of the replicas may have
/// extended their proof. If this host may not know all of them, the wait lasts until every proof
/// window has expired.
pub(super) async fn start_stop_wait<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
    begun_at: Monotonic,
) -> StopWait {
    let settings = LeadProofSettings::default();
    let knows_before = {
        let lead_state = shared.lead_state.borrow();
        lead_state.proof.knows_all_hosts(announced.announced_at)
    };
    let listed = listed_hosts(shared).await;
    let knows_all = knows_before && listed.is_some();
    let mut hosts = listed.unwrap_or_default();
    let lead_state = shared.lead_state.borrow();
    hosts.extend(lead_state.other_hosts(&shared.settings.host, announced.announced_at));
    hosts.remove(&shared.settings.host);
    StopWait::new(settings, begun_at, hosts, knows_all)
}

async fn listed_hosts<P: Platform>(shared: &Shared<P>) -> Option<BTreeSet<HostId>> {
    let progress = CallProgress::default();
    let call = shared.store.list(HOSTS_PREFIX, &progress);
    match transfer_with_timeout(shared, StoreCall::List, STORE_CALL_TIMEOUT, &progress, call).await
    {
        Ok(listing) => {
            let keys = listing.items.iter();
            let hosts = keys.filter_map(|item| item.key.strip_prefix(HOSTS_PREFIX));
            Some(hosts.map(HostId::from).collect())
        }
        Err(error) => {
            warn!(error:% = error; "failed to list the hosts for a change of primary");
            None
        }
    }
}
