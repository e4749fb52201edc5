//! Asks other hosts for what this host may lack.

use jujubehold_core::directory_sources::DirectorySources;
use jujubehold_core::follow_reason::FollowReason;

use super::super::peers::Peers;
use super::relay::fetch_changes;
use crate::prelude::*;

/// How many other hosts are asked, one after the other, before the store is.
const MAX_HOSTS_ASKED: usize = 2;

/// Asks other hosts for what this host may lack. Returns whether the store need not be asked.
pub(super) async fn ask_other_hosts<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    sources: &mut DirectorySources,
    reason: FollowReason,
) -> bool {
    match reason {
        FollowReason::Restored | FollowReason::NoSource => false,
        FollowReason::Changes => match shared.proof_source() {
            Some(source) => fetch_changes(shared, peers, &source).await,
            None => false,
        },
        FollowReason::Unconfirmed => confirm_with_other_hosts(shared, peers, sources).await,
    }
}

async fn confirm_with_other_hosts<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    sources: &mut DirectorySources,
) -> bool {
    for _ in 0..MAX_HOSTS_ASKED {
        let Some(source) = shared.directory_source(sources) else {
            return false;
        };
        if fetch_changes(shared, peers, &source).await {
            return true;
        }
        sources.note_unhelpful(shared.now(), &source);
    }
    false
}
