//! Promotes a replica to primary.

use jujubehold_core::candidate_choice::{CandidateChoice, CandidateStatus, choose_candidate};
use log::info;

use super::super::DUTY_KEY;
use super::super::peers::Peers;
use super::super::store_calls::{STORE_CALL_TIMEOUT, StoreCall, call_with_timeout};
use super::super::table_access::read_table;
use super::STATUS_POLL_INTERVAL;
use super::STEP_RETRY_PAUSE;
use super::announce::{AnnouncedChange, is_current};
use super::candidates::{
    PromotedInstance, ensure_marked, is_marked, log_choice, query_candidates,
    resume_other_replicas, wait_until_primary,
};
use super::confirmed_promotion::{confirming_replicas, promote_confirmed_replica};
use super::stopping::{start_stop_wait, wait_for_stop};
use crate::prelude::*;
use crate::protocol::{PromotionCall, PromotionOrder, PromotionOutcome, Store};
use crate::shared::millis;

/// The timeout of a promotion order.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// The maximum age, when the order is given, of the read that shows that this host still makes the
/// change.
const MAX_ORDER_PROOF_AGE: Duration = Duration::from_millis(300);
/// The timeout for a replica to receive what the old primary of a planned change had.
const CATCH_UP_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Promotes a replica and waits until it is primary; `None` if another host took the change over.
/// Where replicas confirm commits, it has every acknowledged one.
pub(super) async fn promote_replica<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
    min_position: Option<LogPosition>,
) -> Option<PromotedInstance> {
    let mut wait = None;
    let mut marked: Option<InstanceId> = None;
    let catch_up_until = shared.now() + CATCH_UP_TIMEOUT;
    loop {
        if !is_current(shared, announced) {
            return None;
        }
        if confirming_replicas(shared, &announced.service) > 0 {
            // A configuration was applied meanwhile.
            let promotion = promote_confirmed_replica(shared, peers, announced, min_position);
            return Box::pin(promotion).await;
        }
        let statuses = query_candidates(shared, announced).await;
        let chosen = match choose_candidate(&announced.old_primary, announced.old_term, &statuses) {
            CandidateChoice::AlreadyPrimary(promoted) => {
                return await_promoted(shared, peers, announced, &promoted).await;
            }
            CandidateChoice::Promote(instance) => instance,
            CandidateChoice::None => {
                actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
                continue;
            }
        };
        // A marked replica receives nothing more, and stays the choice as long as it answers.
        let chosen = marked
            .clone()
            .filter(|marked| statuses.iter().any(|status| status.instance == *marked))
            .unwrap_or(chosen);
        let has_caught_up = min_position.is_none_or(|min_position| {
            let received = statuses.iter().find(|status| status.instance == chosen);
            received.is_some_and(|status| status.received >= min_position)
        });
        if !has_caught_up && shared.now() < catch_up_until {
            actix_rt::time::sleep(STATUS_POLL_INTERVAL).await;
            continue;
        }
        let Some(marked_at) = ensure_marked(shared, &chosen, &statuses).await else {
            marked = None;
            actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
            continue;
        };
        marked = Some(chosen.clone());
        let wait = match &mut wait {
            Some(wait) => wait,
            None => wait.insert(start_stop_wait(shared, announced, announced.announced_at).await),
        };
        if let Some(marked_at) = marked_at {
            wait.restart(marked_at);
        }
        wait_for_stop(shared, peers, announced, wait).await?;
        log_choice(announced, &chosen, &statuses);
        if is_marked(shared, &chosen).await
            && order_promotion(shared, announced, &chosen).await?
            && let Some(promoted) = wait_until_primary(shared, &chosen, &statuses).await
        {
            let upstreams = shared.upstreams_of(&announced.service);
            resume_other_replicas(shared, announced, upstreams, &promoted);
            return Some(promoted);
        }
        actix_rt::time::sleep(STEP_RETRY_PAUSE).await;
    }
}

/// Waits until no host uses the old primary, which `promoted` has already replaced; `None` if another
/// host took the change over.
pub(super) async fn await_promoted<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &AnnouncedChange,
    promoted: &CandidateStatus,
) -> Option<PromotedInstance> {
    let mut wait = start_stop_wait(shared, announced, announced.announced_at).await;
    wait_for_stop(shared, peers, announced, &mut wait).await?;
    Some(PromotedInstance {
        id: promoted.instance.clone(),
        term: promoted.term,
        start: Some(promoted.received),
    })
}

// Returns whether the duty to order promotions is still this host's; `None` if the store does not
// answer.
async fn holds_duty<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
) -> Option<bool> {
    let call = shared.store.read(DUTY_KEY);
    let read = call_with_timeout(shared, StoreCall::ReadDuty, STORE_CALL_TIMEOUT, call).await;
    let (item, _) = read.ok()?;
    let is_of_era = shared.lead_state.borrow().era == announced.duty.era;
    Some(is_of_era && item.is_some_and(|item| item.revision == announced.duty.revision))
}

/// Orders a promotion. Returns whether the order was accepted, or `None` if another host took the
/// change over.
///
/// First reads from the store which host makes the change, and gives the order only shortly after:
/// a host that was suspended in between must not give an order after a later host has given its
/// own.
pub(super) async fn order_promotion<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &AnnouncedChange,
    instance: &InstanceId,
) -> Option<bool> {
    let read_sent_at = shared.now();
    let has_read = read_table(shared).await == Ok(true);
    if !is_current(shared, announced) {
        return None;
    }
    if !has_read {
        return Some(false);
    }
    // Another host's orders for another service have a higher number. This host announces its change
    // again, with a number that is higher still.
    match holds_duty(shared, announced).await {
        Some(true) => {}
        Some(false) => return None,
        None => return Some(false),
    }
    let order = PromotionOrder {
        service: announced.service.clone(),
        instance: instance.clone(),
        host: shared.settings.host.clone(),
        fencing_token: announced.duty.fencing_token(),
    };
    if shared.now().saturating_sub(read_sent_at) > MAX_ORDER_PROOF_AGE {
        return Some(false);
    }
    let outcome = shared.promotion.promote(&order, ORDER_TIMEOUT).await;
    info!(service = announced.service.as_str(), instance = instance.as_str(),
        fencing_token = order.fencing_token, outcome:? = outcome, now_ms = millis(shared.now());
        "promotion ordered");
    Some(match outcome {
        // If the order had no answer, the instance's status shows whether it was accepted.
        PromotionOutcome::Taken | PromotionOutcome::Unknown => true,
        PromotionOutcome::Refused | PromotionOutcome::Unavailable => false,
    })
}
