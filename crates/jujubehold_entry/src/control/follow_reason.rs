//! Why a host asks for changes of the directory.

use jujubehold_core::directory_progress::DirectoryNeed;
use metrics::counter;

use crate::metric_names::DIRECTORY_FOLLOWED;
use crate::prelude::*;

/// How often a host that follows another one checks whether it has to ask for changes.
const NEED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Why a host that has listed the directory asks for changes.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum FollowReason {
    /// It follows no other host.
    NoSource,
    /// The host that it follows knows changes that this one lacks.
    Changes,
    /// Nothing has confirmed lately that this host lacks no change.
    Unconfirmed,
    /// The store was restored from a copy, so that all items have to be listed again.
    Restored,
}

impl FollowReason {
    // Returns the name used in metrics.
    fn as_str(self) -> &'static str {
        match self {
            Self::NoSource => "no_source",
            Self::Changes => "changes",
            Self::Unconfirmed => "unconfirmed",
            Self::Restored => "restored",
        }
    }
}

/// Returns when this host has to ask for changes, and counts why.
pub(super) async fn wait_for_reason<P: Platform>(shared: &Shared<P>) -> FollowReason {
    let reason = next_reason(shared).await;
    counter!(DIRECTORY_FOLLOWED, "reason" => reason.as_str()).increment(1);
    reason
}

async fn next_reason<P: Platform>(shared: &Shared<P>) -> FollowReason {
    loop {
        if shared.is_store_restored() {
            return FollowReason::Restored;
        }
        if shared.proof_source().is_none() {
            return FollowReason::NoSource;
        }
        let need = shared.directory_progress.borrow().need(shared.now());
        match need {
            DirectoryNeed::Nothing => actix_rt::time::sleep(NEED_CHECK_INTERVAL).await,
            DirectoryNeed::Changes => return FollowReason::Changes,
            DirectoryNeed::Confirmation => return FollowReason::Unconfirmed,
        }
    }
}
