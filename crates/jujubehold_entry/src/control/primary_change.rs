//! Replaces the primary of a service.
//!
//! 1. This host announces the change in the table of leads. From then on no host starts new work at
//!    the old primary, and only this host may order a promotion. It asks every host to stop using
//!    the old primary.
//! 2. In a planned change, the old primary becomes a replica as soon as all hosts have stopped.
//!    This host then waits for a replica that has received the old primary's whole log.
//! 3. The replica that received most is marked; all replicas where they confirm commits. Hosts that
//!    are cut off from the store see the mark.
//! 4. This host waits for the hosts that have not stopped until their proof of the old table must
//!    have expired.
//! 5. The marked replica is promoted, and recorded in the table once it is the primary.
//!
//! See docs/notes/platform-path.md.

mod acknowledged;
mod announce;
mod candidates;
mod confirmed_promotion;
mod promotion;
mod record;
mod stopping;

use log::{info, warn};
use metrics::counter;
use tokio::task::JoinHandle;

use super::peers::Peers;
use super::primary_keeper::ChangeReason;
use crate::metric_names::PRIMARY_CHANGES;
use crate::prelude::*;
use crate::shared::millis;
use announce::{AnnouncedChange, announce};
use candidates::fence_old_primary;
use confirmed_promotion::resume_after_reinstatement;
use promotion::promote_replica;
use record::record_primary;
use stopping::{request_stop, wait_for_open_work};

/// The timeout of a whole change, after which another host may start it again.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(20);
/// The pause before a failed step is repeated.
const STEP_RETRY_PAUSE: Duration = Duration::from_millis(100);
/// How often an instance is asked whether it is the primary or has caught up.
const STATUS_POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Replaces the primary of `service`, or completes a change that another host started.
pub(crate) async fn change_primary<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    service: &ServiceId,
    reason: ChangeReason,
) {
    let begun_at = shared.now();
    info!(service = service.as_str(), reason:? = reason, now_ms = millis(begun_at);
        "replacing a primary");
    let Some(announced) = announce(shared, service, reason).await else {
        return;
    };
    let knows_all_hosts = {
        let lead_state = shared.lead_state.borrow();
        lead_state.proof.knows_all_hosts(announced.announced_at)
    };
    info!(service = service.as_str(), old = announced.old_primary.as_str(), knows_all_hosts,
        era = announced.version.era, revision = announced.version.revision,
        fencing_token = announced.duty.fencing_token();
        "change of primary announced");
    let limit = CHANGE_TIMEOUT;
    let finished = tokio::time::timeout(limit, complete_change(shared, peers, &announced)).await;
    let outcome = match finished {
        Ok(Some(primary)) => {
            let taken_ms = millis(shared.now().saturating_sub(begun_at));
            info!(service = service.as_str(), primary = primary.as_str(), taken_ms;
                "primary replaced");
            "replaced"
        }
        Ok(None) => "taken_over",
        Err(_) => "given_up",
    };
    if outcome != "replaced" {
        warn!(service = service.as_str(), outcome; "change of primary not completed by this host");
    }
    counter!(PRIMARY_CHANGES, "service" => service.to_string(), "outcome" => outcome).increment(1);
}

async fn complete_change<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
) -> Option<InstanceId> {
    let stop_requests = AbortOnDrop(actix_rt::spawn(request_stop(
        Rc::clone(shared),
        Rc::clone(peers),
        announced.service.clone(),
        announced.version,
    )));
    let min_position = if announced.is_planned {
        wait_for_open_work(shared, peers, announced).await?;
        fence_old_primary(shared, announced).await
    } else {
        None
    };
    let promoted = promote_replica(shared, peers, announced, min_position).await?;
    drop(stop_requests);
    let primary = record_primary(shared, peers, announced, promoted.clone()).await?;
    if promoted.is_reinstated() {
        resume_after_reinstatement(shared, announced, &promoted);
    }
    Some(primary)
}

/// Aborts a task when dropped.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
