//! Leases of shares of the quotas: the keepers' requests, their answers, and releases.

use jujubehold_core::quota::{
    CountedHosts, PartitionSet, ShareAction, ShareAnswer, ShareRelease, ShareRequest,
};
use log::info;
use metrics::counter;

use super::has_quotas;
use crate::control::peer_message::{PeerMessage, PeerMessageKind, ShareMessage};
use crate::control::peers::{Peers, new_message};
use crate::metric_names::{QUOTA_RELEASES, QUOTA_SHARE_REQUESTS};
use crate::phase::Phase;
use crate::prelude::*;
use crate::shared::millis;

/// How often a host without quotas checks whether it has some.
const IDLE_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Requests shares while this host is a keeper, and gives them up when it leaves.
pub(crate) async fn keep_shares<P: Platform>(shared: Rc<Shared<P>>) {
    let mut phase = shared.phase.subscribe();
    let mut pause = IDLE_CHECK_INTERVAL;
    loop {
        // A host that begins to leave gives up its shares at once.
        let _ = tokio::time::timeout(pause, phase.changed()).await;
        pause = IDLE_CHECK_INTERVAL;
        if !has_quotas(&shared) {
            continue;
        }
        let now = shared.now();
        shared.quotas.refresh_hosts(&shared);
        let is_leaving = *phase.borrow_and_update() != Phase::Serving && has_other_hosts(&shared);
        if is_leaving {
            let own = &shared.settings.host;
            shared.quotas.hosts.borrow_mut().note_leaving(own);
        }
        step(&shared, now, is_leaving);
        let wake_at = shared.quotas.shares.borrow().wake_at(now);
        pause = wake_at.saturating_sub(now);
    }
}

fn has_other_hosts<P: Platform>(shared: &Shared<P>) -> bool {
    let lead_state = shared.lead_state.borrow();
    let own = &shared.settings.host;
    lead_state.members.keys().any(|host| host != own)
}

fn step<P: Platform>(shared: &Shared<P>, now: Monotonic, is_leaving: bool) {
    let (actions, receivers) = {
        let hosts = shared.quotas.hosts.borrow();
        let mut state = shared.quotas.shares.borrow_mut();
        let actions = state.step(now, &hosts, is_leaving);
        let receivers: Vec<_> = if actions.is_empty() {
            Vec::new()
        } else {
            hosts.domain_peers().cloned().collect()
        };
        (actions, receivers)
    };
    for action in actions {
        let message = match action {
            ShareAction::Request(request) => {
                counter!(QUOTA_SHARE_REQUESTS).increment(1);
                let kept_before = shared.quotas.kept.replace(request.partitions);
                if kept_before != request.partitions && shared.log.allows(now) {
                    info!(partitions = request.partitions.bits(), now_ms = millis(now);
                        "keeps quotas");
                }
                request_message(shared, &request)
            }
            ShareAction::Release(release) => {
                counter!(QUOTA_RELEASES).increment(1);
                shared.quotas.kept.take();
                if shared.log.allows(now) {
                    info!(partitions = release.partitions.bits(), is_leaving, now_ms = millis(now);
                        "gave up shares of the quotas");
                }
                release_message(shared, &release)
            }
        };
        if let Some(peers) = shared.quotas.peers.get() {
            for host in &receivers {
                peers.send_to(shared, host, &message);
            }
        }
    }
}

fn request_message<P: Platform>(shared: &Shared<P>, request: &ShareRequest) -> PeerMessage {
    let mut message = new_message(shared, PeerMessageKind::ShareRequest);
    message.share = Some(ShareMessage {
        process: request.process,
        number: request.number,
        partitions: request.partitions.bits(),
        ..ShareMessage::default()
    });
    message
}

fn release_message<P: Platform>(shared: &Shared<P>, release: &ShareRelease) -> PeerMessage {
    let mut message = new_message(shared, PeerMessageKind::ShareRelease);
    message.share = Some(ShareMessage {
        process: release.process,
        number: release.number,
        partitions: release.partitions.bits(),
        is_leaving: release.is_leaving,
        ..ShareMessage::default()
    });
    message
}

/// Answers a keeper's request for this host's share.
pub(crate) fn answer_share_request<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    message: &PeerMessage,
) {
    let Some(share) = &message.share else {
        return;
    };
    let request = ShareRequest {
        process: share.process,
        number: share.number,
        partitions: PartitionSet::from_bits(share.partitions),
    };
    let keeper = HostId::from(message.from.as_str());
    let now = shared.now();
    let mut state = shared.quotas.shares.borrow_mut();
    let answer = state.answer_request(now, &keeper, &request);
    drop(state);
    let mut reply = new_message(shared, PeerMessageKind::ShareAnswer);
    reply.share = Some(ShareMessage {
        number: answer.number,
        partitions: answer.leased.bits(),
        credited: answer.credited.bits(),
        next_in_us: u64::try_from(answer.next_in.as_micros()).unwrap_or(u64::MAX),
        ..ShareMessage::default()
    });
    reply.counted_hosts = answer.count.map(Into::into);
    peers.send_to(shared, &keeper, &reply);
}

/// Applies the answer to a request of this host.
pub(crate) fn apply_share_answer<P: Platform>(shared: &Shared<P>, message: &PeerMessage) {
    let Some(share) = &message.share else {
        return;
    };
    let answer = ShareAnswer {
        number: share.number,
        leased: PartitionSet::from_bits(share.partitions),
        credited: PartitionSet::from_bits(share.credited),
        next_in: Duration::from_micros(share.next_in_us),
        count: message.counted_hosts.map(CountedHosts::from),
    };
    let host = HostId::from(message.from.as_str());
    let mut state = shared.quotas.shares.borrow_mut();
    state.note_answer(shared.now(), &host, &answer);
}

/// Records that a keeper gave up shares.
pub(crate) fn apply_release<P: Platform>(shared: &Shared<P>, message: &PeerMessage) {
    let Some(share) = &message.share else {
        return;
    };
    let release = ShareRelease {
        process: share.process,
        number: share.number,
        partitions: PartitionSet::from_bits(share.partitions),
        is_leaving: share.is_leaving,
    };
    let keeper = HostId::from(message.from.as_str());
    if release.is_leaving {
        shared.quotas.hosts.borrow_mut().note_leaving(&keeper);
    }
    let mut state = shared.quotas.shares.borrow_mut();
    state.note_release(shared.now(), &keeper, &release);
}
