//! Follows the store: everything is listed once and then watched by one call that waits.

use std::collections::BTreeSet;

use jujubehold_core::backoff::Backoff;
use jujubehold_core::lead_table::Revision;
use jujubehold_core::watch_pace::WatchPace;
use log::{debug, info};

use super::instances::{apply_item, apply_removal, drop_missing, listed_keys};
use super::store_calls::{CALL_TIMEOUT, within};
use crate::prelude::*;
use crate::protocol::{Directory, ItemChange, Store, StoreError};

/// How long the store holds a watch that has nothing to tell: near the longest that it takes, since
/// a watch that went silent shows by what other answers of the store tell.
const WATCH_WAIT: Duration = Duration::from_secs(25);
/// How often a watch that waits is held against that.
const SILENCE_LOOK: Duration = Duration::from_millis(250);
/// How much longer than that the answer may take.
const WATCH_SLACK: Duration = Duration::from_millis(900);
/// Everything in the store is of interest.
const WATCH_PREFIX: &str = "";
/// The waits after failures; the configuration must be in force soon after the store is back.
const BACKOFF: Backoff = Backoff {
    base: Duration::from_millis(100),
    limit: Duration::from_millis(600),
};

/// Follows the store until the future is dropped.
pub(crate) async fn watch_store<P: Platform>(shared: Rc<Shared<P>>) {
    let mut failures = 0;
    let mut position = None;
    loop {
        let begun_at = shared.now();
        let result = match position {
            Some(after) => watch(&shared, after).await,
            None => list(&shared).await,
        };
        match result {
            Ok(revision) => {
                position = Some(revision);
                failures = 0;
                let now = shared.now();
                shared
                    .watch_news
                    .borrow_mut()
                    .note_watch_revision(now, revision);
                keep_pace(&shared, now.saturating_sub(begun_at)).await;
            }
            Err(error) => {
                debug!("following the store failed: {error}");
                // A watch that lost its connection goes on from where it was; only a history that
                // is gone makes a listing needed.
                if error == StoreError::Compacted {
                    info!("the store's history is gone, all is listed anew");
                    position = None;
                } else {
                    let pause = BACKOFF.delay(failures, rand::random());
                    failures += 1;
                    actix_rt::time::sleep(pause).await;
                }
            }
        }
        drop_missing(&shared);
    }
}

// Changes that come close together are taken in by one call.
async fn keep_pace<P: Platform>(shared: &Shared<P>, taken: Duration) {
    let hosts = shared.lead.borrow().members.len();
    let spacing = WatchPace::default().spacing(hosts);
    actix_rt::time::sleep(spacing.saturating_sub(taken)).await;
}

async fn watch<P: Platform>(shared: &Shared<P>, after: Revision) -> Result<Revision, StoreError> {
    let call = shared.store.watch(WATCH_PREFIX, after, WATCH_WAIT);
    let answer = within(shared, "watch", WATCH_WAIT + WATCH_SLACK, call);
    let (changes, revision) = tokio::select! {
        answer = answer => answer?,
        () = silence(shared) => {
            info!(after; "the watch is silent and is begun anew");
            return Err(StoreError::TimedOut);
        }
    };
    for change in &changes {
        match change {
            ItemChange::Written(item) => apply_item(shared, item),
            ItemChange::Removed { key, revision } => apply_removal(shared, key, *revision),
        }
    }
    Ok(revision)
}

// Ends when the watch lacks what the store is known to hold.
async fn silence<P: Platform>(shared: &Shared<P>) {
    let pace = WatchPace::default();
    loop {
        actix_rt::time::sleep(SILENCE_LOOK).await;
        if shared.watch_news.borrow().is_stalled(&pace, shared.now()) {
            return;
        }
    }
}

async fn list<P: Platform>(shared: &Shared<P>) -> Result<Revision, StoreError> {
    let prefixes = [
        P::Directory::CONFIGURATION_KEY,
        P::Directory::INSTANCES_PREFIX,
    ];
    let mut first = None;
    let mut present = BTreeSet::new();
    for prefix in prefixes {
        let listing = within(shared, "list", CALL_TIMEOUT, shared.store.list(prefix)).await?;
        // What changes between two listings is told by the watch from the first one's revision on.
        first = first.or(Some(listing.revision));
        for item in &listing.items {
            present.insert(item.key.to_string());
            apply_item(shared, item);
        }
    }
    if shared.directory_since.get().is_none() {
        shared.directory_since.set(Some(shared.now()));
    }
    let revision = first.unwrap_or_default();
    // The hosts' own keys are listed again and again for the proof that the leads are the newest.
    for key in listed_keys(shared) {
        if !present.contains(&key) {
            apply_removal(shared, &key, revision);
        }
    }
    Ok(revision)
}
