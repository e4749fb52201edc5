//! Replaces a primary.
//!
//! 1. The change is announced in the table of leads. From then on no host begins anything at the
//!    old primary, and only the host that announced it may order a promotion. Every host is asked
//!    to stop.
//! 2. A primary that leaves by plan is made a replica as soon as the hosts have stopped, and a
//!    replica is waited for that has all of its log.
//! 3. The replica that received most is marked, which hosts that are cut off from the store see.
//! 4. Hosts that have not stopped are waited for until their proof of the old table must have
//!    lapsed.
//! 5. The marked replica is promoted, and put on record when it leads.
//!
//! See docs/notes/platform-path.md.

mod announce;
mod candidates;
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
use announce::{Announced, announce};
use candidates::fence_old;
use promotion::promote_one;
use record::record;
use stopping::{ask_stop, wait_for_end_of_work};

/// How long a whole change may take before another host may begin it anew.
const CHANGE_LIMIT: Duration = Duration::from_secs(20);
/// The pause between failed steps.
const STEP_PAUSE: Duration = Duration::from_millis(100);
/// How often an instance is asked whether it leads, or has what it should.
const LEAD_LOOK: Duration = Duration::from_millis(25);

/// Replaces the primary of `service`, or finishes what another host began.
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
    info!(service = service.as_str(), old = announced.old.as_str(),
        revision = announced.revision, fencing_token = announced.fencing_token;
        "change of primary announced");
    let limit = CHANGE_LIMIT;
    let finished = tokio::time::timeout(limit, finish(shared, peers, &announced)).await;
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
        warn!(service = service.as_str(), outcome; "a change of primary ended");
    }
    counter!(PRIMARY_CHANGES, "service" => service.to_string(), "outcome" => outcome).increment(1);
}

async fn finish<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
) -> Option<InstanceId> {
    let asking = AbortOnDrop(actix_rt::spawn(ask_stop(
        Rc::clone(shared),
        Rc::clone(peers),
        announced.service.clone(),
        announced.revision,
    )));
    let least = if announced.is_planned {
        wait_for_end_of_work(shared, peers, announced).await?;
        fence_old(shared, announced).await
    } else {
        None
    };
    let primary = promote_one(shared, peers, announced, least).await?;
    drop(asking);
    record(shared, peers, announced, primary).await
}

/// Ends a task with its owner.
struct AbortOnDrop(JoinHandle<()>);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}
