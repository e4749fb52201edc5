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
use jujubehold_core::history_limit::HistoryLimit;
use jujubehold_core::lead_table::Revision;
use jujubehold_core::watch_pace::{WatchPace, WatchProgress};
use log::{debug, info};

use super::directory_relay::fetch_changes;
use super::follow_error::FollowError;
use super::follow_reason::wait_for_reason;
use super::instances::{ChangeOrigin, apply_item, apply_removal, remove_missing_instances};
use super::peers::Peers;
use super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, transfer_with_timeout, wait_for_turn};
use super::store_listing::list_directory;
use crate::prelude::*;
use crate::protocol::{CallProgress, ItemChange, Store, StoreError};
use crate::shared::millis;

/// How long the store holds a watch without changes. This is near the longest time that it allows,
/// since other answers of the store reveal a stalled watch.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// How often a waiting watch is checked for a stall, and for a restore of the store.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// How many other hosts are asked, one after the other, before the store is.
const MAX_HOSTS_ASKED: usize = 2;
/// The empty prefix, which matches all keys in the store.
const WATCH_PREFIX: &str = "";
/// The delays after failures; the configuration must take effect soon after the store is available
/// again.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    limit: Duration::from_millis(600),
};

/// Follows the store until the future is dropped.
pub(crate) async fn watch_store<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
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

// Asks other hosts for what this host may lack. Returns whether the store need not be asked.
async fn ask_other_hosts<P: Platform>(
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

async fn watch<P: Platform>(
    shared: &Shared<P>,
    after: Revision,
    wait: Duration,
    listed_bytes: u64,
) -> Result<StoreRead, FollowError> {
    let begun_at = shared.now();
    let progress = CallProgress::default();
    let call = shared.store.watch(WATCH_PREFIX, after, wait, &progress);
    let idle_limit = wait + STORE_CALL_TIMEOUT;
    let answer = transfer_with_timeout(shared, StoreCall::Watch, idle_limit, &progress, call);
    let (changes, revision) = tokio::select! {
        answer = answer => answer?,
        () = wait_for_stall(shared, !wait.is_zero(), &progress) => {
            let received_bytes = progress.received_bytes();
            let directory_age_ms = millis(shared.directory_age());
            info!(after, received_bytes, directory_age_ms;
                "the watch has stalled; starting it again");
            return Err(StoreError::TimedOut.into());
        }
        history_bytes = wait_for_long_history(&progress, listed_bytes) => {
            return Err(FollowError::LongHistory { history_bytes, listed_bytes });
        }
        () = wait_for_restore(shared) => return Err(FollowError::Restored),
    };
    if shared.is_store_restored() {
        return Err(FollowError::Restored);
    }
    for change in &changes {
        match change {
            ItemChange::Written(item) => apply_item(shared, item, ChangeOrigin::Watch),
            ItemChange::Removed { key, revision } => apply_removal(shared, key, *revision),
        }
    }
    // The answer holds all changes until it was sent, which was after the call began.
    Ok(StoreRead {
        read_at: begun_at,
        era: shared.store.era(),
        revision,
    })
}

// Returns when another answer of the store shows that it was restored from a copy.
async fn wait_for_restore<P: Platform>(shared: &Shared<P>) {
    while !shared.is_store_restored() {
        actix_rt::time::sleep(STALL_CHECK_INTERVAL).await;
    }
}

// Returns when the watch has not delivered changes that the store is known to hold, or it waits and
// nothing has confirmed the directory lately, and nothing of its answer arrives.
async fn wait_for_stall<P: Platform>(
    shared: &Shared<P>,
    is_waiting: bool,
    progress: &CallProgress,
) {
    let pace = WatchPace::default();
    loop {
        actix_rt::time::sleep(STALL_CHECK_INTERVAL).await;
        let now = shared.now();
        let mut watch_progress = shared.watch_progress.borrow_mut();
        watch_progress.note_received(now, progress.received_bytes());
        let confirmed_at = shared.directory_progress.borrow().confirmed_at();
        let is_unconfirmed = is_waiting && watch_progress.is_unconfirmed(confirmed_at, now);
        if is_unconfirmed || watch_progress.is_stalled(&pace, now) {
            return;
        }
    }
}

// Returns the size of an answer that is not worth receiving, as soon as its size is known.
async fn wait_for_long_history(progress: &CallProgress, listed_bytes: u64) -> u64 {
    let history_bytes = progress.announced_bytes().await;
    if HistoryLimit::default().is_exceeded(history_bytes, listed_bytes) {
        return history_bytes;
    }
    std::future::pending().await
}
