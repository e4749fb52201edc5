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
use super::follow_error::FollowError;
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

/// Follows the directory until the future is dropped.
pub(crate) async fn follow_directory<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
    let mut follower = Follower::default();
    loop {
        if let Some(call) = follower.next_call(&shared, &peers).await
            && wait_for_call(&shared, call).await
        {
            let begun_at = shared.now();
            let result = follower.make_call(&shared, call).await;
            follower.note_result(&shared, call, begun_at, result).await;
        }
        remove_missing_instances(&shared);
    }
}

/// A call of the store that returns items of the directory.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum DirectoryCall {
    /// Lists all items.
    List,
    /// Asks for the changes until now.
    Confirm,
    /// Waits for the next change.
    Wait,
}

/// What the calls so far have led to.
#[derive(Debug, Default)]
struct Follower {
    /// Whether the items were listed and changes continue from there.
    is_listed: bool,
    /// The size of the latest listing.
    listed_bytes: u64,
    /// The number of calls that have failed since the last one that was answered.
    failures: u32,
    sources: DirectorySources,
}

impl Follower {
    // Waits until there is a reason to ask. Returns the call to make, or `None` if other hosts have
    // told what this one lacked.
    async fn next_call<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        peers: &Peers,
    ) -> Option<DirectoryCall> {
        if !self.is_listed {
            return Some(DirectoryCall::List);
        }
        let reason = wait_for_reason(shared).await;
        if ask_other_hosts(shared, peers, &mut self.sources, reason).await {
            return None;
        }
        let call = match reason {
            FollowReason::Restored => {
                info!(era = shared.store.era(); "the store was restored; listing all items again");
                self.is_listed = false;
                DirectoryCall::List
            }
            FollowReason::Unconfirmed => DirectoryCall::Confirm,
            FollowReason::NoSource | FollowReason::Changes => DirectoryCall::Wait,
        };
        Some(call)
    }

    async fn make_call<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        call: DirectoryCall,
    ) -> Result<StoreRead, FollowError> {
        let wait = match call {
            DirectoryCall::List => return list_directory(shared, &mut self.listed_bytes).await,
            DirectoryCall::Confirm => Duration::ZERO,
            DirectoryCall::Wait => WATCH_WAIT,
        };
        let after = shared.directory_progress.borrow().reached();
        let now = shared.now();
        // What other answers have shown before this call does not make it a stalled one.
        shared
            .watch_progress
            .borrow_mut()
            .note_watch_revision(now, after);
        watch(shared, after, wait, self.listed_bytes).await
    }

    async fn note_result<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        call: DirectoryCall,
        begun_at: Monotonic,
        result: Result<StoreRead, FollowError>,
    ) {
        match result {
            Ok(read) => {
                note_reached(shared, call, &read);
                self.is_listed = true;
                self.failures = 0;
                limit_watch_rate(shared, shared.now().saturating_sub(begun_at)).await;
            }
            Err(error) if error.needs_listing() => {
                info!(reason:% = error; "listing all items again");
                self.is_listed = false;
            }
            // A watch that lost its connection continues from its last revision.
            Err(error) => {
                debug!("failed to follow the store: {error}");
                let pause = BACKOFF.delay(self.failures, rand::random());
                self.failures += 1;
                actix_rt::time::sleep(pause).await;
            }
        }
    }
}

// Waits until the host may call the store. Returns `false` if it should ask other hosts meanwhile:
// they can tell more than a store that answers nothing.
async fn wait_for_call<P: Platform>(shared: &Shared<P>, call: DirectoryCall) -> bool {
    let due_at = shared.now();
    tokio::select! {
        () = wait_for_turn(shared, CallKind::Read) => {}
        () = wait_until_unconfirmed(shared), if call == DirectoryCall::Wait => return false,
    }
    log_late_call(shared, due_at);
    true
}

// Returns when nothing has confirmed the directory lately.
async fn wait_until_unconfirmed<P: Platform>(shared: &Shared<P>) {
    while shared.directory_age() <= MAX_UNCONFIRMED_TIME {
        actix_rt::time::sleep(MAX_UNCONFIRMED_TIME.saturating_sub(shared.directory_age())).await;
    }
}

// Logs a call to the store of a host that may be behind, with what it has waited for.
fn log_late_call<P: Platform>(shared: &Shared<P>, due_at: Monotonic) {
    let now = shared.now();
    let age = shared.directory_age();
    if age <= MAX_UNCONFIRMED_TIME || shared.directory_followed_since.get().is_none() {
        return;
    }
    let is_listed = shared.lead_state.borrow().membership.is_some();
    info!(directory_age_ms = millis(age), is_listed,
        waited_ms = millis(now.saturating_sub(due_at)), now_ms = millis(now);
        "asking the store for changes that this host may lack");
}

fn note_reached<P: Platform>(shared: &Shared<P>, call: DirectoryCall, read: &StoreRead) {
    let mut progress = shared.directory_progress.borrow_mut();
    let mut watch_progress = shared.watch_progress.borrow_mut();
    match call {
        DirectoryCall::List => {
            progress.note_listed(read);
            // Answers to earlier calls may have shown revisions of another era.
            *watch_progress = WatchProgress::default();
        }
        DirectoryCall::Confirm | DirectoryCall::Wait => progress.note_reached(read),
    }
    watch_progress.note_watch_revision(shared.now(), read.revision);
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
