//! Waits until this host has to ask for changes of the directory.

use jujubehold_core::follow_reason::FollowReason;
use metrics::counter;

use crate::metric_names::DIRECTORY_FOLLOWED;
use crate::prelude::*;

/// How often a host that follows another one checks whether it has to ask for changes.
const NEED_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Returns when this host has to ask for changes, and counts why.
pub(super) async fn wait_for_reason<P: Platform>(shared: &Shared<P>) -> FollowReason {
    loop {
        let need = shared.directory_progress.borrow().need(shared.now());
        let has_source = shared.proof_source().is_some();
        if let Some(reason) = FollowReason::next(shared.is_store_restored(), has_source, need) {
            counter!(DIRECTORY_FOLLOWED, "reason" => reason.as_str()).increment(1);
            return reason;
        }
        actix_rt::time::sleep(NEED_CHECK_INTERVAL).await;
    }
}
