//! Asks the store for the changes after a revision, and gives the call up when it tells nothing any
//! more.

use jujubehold_core::directory_progress::StoreRead;
use jujubehold_core::history_limit::HistoryLimit;
use jujubehold_core::store_version::Revision;
use jujubehold_core::watch_pace::WatchPace;
use log::info;

use super::super::instances::{ChangeOrigin, apply_item, apply_removal};
use super::super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, transfer_with_timeout};
use super::follow_error::FollowError;
use crate::prelude::*;
use crate::protocol::{CallProgress, ItemChange, Store, StoreError};
use crate::shared::millis;

/// How often a waiting watch is checked for a stall, and for a restore of the store.
const STALL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// The empty prefix, which matches all keys in the store.
const WATCH_PREFIX: &str = "";

/// Asks the store for the changes after `after`, and applies them. The store waits up to `wait` for
/// one; `listed_bytes` is the size of all items.
pub(super) async fn watch<P: Platform>(
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
