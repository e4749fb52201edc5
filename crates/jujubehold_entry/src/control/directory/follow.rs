//! Follows the store: lists all items once, then watches for changes with long polls. A host that
//! gets its proof from another host asks that host for the changes that it knows, and the store only
//! if it does not get them. If nothing confirms any more that there are none, the host asks other
//! hosts of its failure domain, and then the store, whose answer it does not wait for longer than for
//! any other. A host that lacks more changes than the items are long lists the items again.

use jujubehold_core::backoff::Backoff;
use jujubehold_core::call_gate::CallKind;
use jujubehold_core::directory_progress::{MAX_UNCONFIRMED_TIME, StoreRead};
use jujubehold_core::directory_sources::DirectorySources;
use jujubehold_core::follow_reason::FollowReason;
use jujubehold_core::watch_pace::{WatchPace, WatchProgress};
use log::{debug, info};

use super::super::instances::remove_missing_instances;
use super::super::peers::Peers;
use super::super::store_calls::wait_for_turn;
use super::follow_reason::wait_for_reason;
use super::listing::list_directory;
use super::other_hosts::ask_other_hosts;
use super::watch::watch;
use crate::prelude::*;
use crate::protocol::Store;
use crate::shared::millis;

/// How long the store holds a watch without changes. This is near the longest time that it allows,
/// since other answers of the store reveal a stalled watch.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// The delays after failures; the configuration must take effect soon after the store is available
/// again.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    limit: Duration::from_millis(600),
};

/// Follows the store until the future is dropped.
pub(crate) async fn follow_directory<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
    let mut failures = 0;
    let mut is_listed = false;
    let mut listed_bytes = 0;
    let mut sources = DirectorySources::default();
    loop {
        let mut wait = WATCH_WAIT;
        if is_listed {
            let reason = wait_for_reason(&shared).await;
            if ask_other_hosts(&shared, &peers, &mut sources, reason).await {
                remove_missing_instances(&shared);
                continue;
            }
            match reason {
                FollowReason::Restored => {
                    info!(era = shared.store.era(); "the store was restored; listing all items again");
                    is_listed = false;
                }
                FollowReason::Unconfirmed => wait = Duration::ZERO,
                FollowReason::NoSource | FollowReason::Changes => {}
            }
        }
        let due_at = shared.now();
        let may_wait = is_listed && !wait.is_zero();
        tokio::select! {
            () = wait_for_turn(&shared, CallKind::Read) => {}
            // Other hosts can tell more than a store that answers nothing.
            () = wait_until_unconfirmed(&shared), if may_wait => continue,
        }
        let begun_at = shared.now();
        log_late_call(&shared, due_at, begun_at);
        let result = if is_listed {
            let after = shared.directory_progress.borrow().reached();
            // What other answers have shown before this call does not make it a stalled one.
            shared
                .watch_progress
                .borrow_mut()
                .note_watch_revision(begun_at, after);
            watch(&shared, after, wait, listed_bytes).await
        } else {
            list_directory(&shared, &mut listed_bytes).await
        };
        match result {
            Ok(read) => {
                note_reached(&shared, is_listed, &read);
                is_listed = true;
                failures = 0;
                let now = shared.now();
                shared
                    .watch_progress
                    .borrow_mut()
                    .note_watch_revision(now, read.revision);
                limit_watch_rate(&shared, now.saturating_sub(begun_at)).await;
            }
            Err(error) => {
                debug!("failed to follow the store: {error}");
                // A watch that lost its connection continues from its last revision.
                if error.needs_listing() {
                    info!(reason:% = error; "listing all items again");
                    is_listed = false;
                } else {
                    let pause = BACKOFF.delay(failures, rand::random());
                    failures += 1;
                    actix_rt::time::sleep(pause).await;
                }
            }
        }
        remove_missing_instances(&shared);
    }
}

// Returns when nothing has confirmed the directory lately.
async fn wait_until_unconfirmed<P: Platform>(shared: &Shared<P>) {
    while shared.directory_age() <= MAX_UNCONFIRMED_TIME {
        actix_rt::time::sleep(MAX_UNCONFIRMED_TIME.saturating_sub(shared.directory_age())).await;
    }
}

// Logs a call to the store of a host that may be behind, with what it has waited for.
fn log_late_call<P: Platform>(shared: &Shared<P>, due_at: Monotonic, begun_at: Monotonic) {
    let age = shared.directory_age();
    if age <= MAX_UNCONFIRMED_TIME || shared.directory_followed_since.get().is_none() {
        return;
    }
    let is_listed = shared.lead_state.borrow().membership.is_some();
    info!(directory_age_ms = millis(age), is_listed,
        waited_ms = millis(begun_at.saturating_sub(due_at)), now_ms = millis(begun_at);
        "asking the store for changes that this host may lack");
}

fn note_reached<P: Platform>(shared: &Shared<P>, is_listed: bool, read: &StoreRead) {
    let mut progress = shared.directory_progress.borrow_mut();
    if is_listed {
        progress.note_reached(read);
    } else {
        progress.note_listed(read);
        // Answers to earlier calls may have shown revisions of another era.
        *shared.watch_progress.borrow_mut() = WatchProgress::default();
    }
}

// Spaces the watch calls out, so that one call returns several changes that come close together.
async fn limit_watch_rate<P: Platform>(shared: &Shared<P>, taken: Duration) {
    let pace = WatchPace::default();
    let spacing = if shared.proof_source().is_some() {
        pace.follower_spacing(shared.lead_state.borrow().members.len())
    } else {
        // One host of each failure domain waits for changes.
        pace.spacing(shared.lead_state.borrow().domain_count())
    };
    actix_rt::time::sleep(spacing.saturating_sub(taken)).await;
}
