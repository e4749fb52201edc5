//! The order that makes a replica the primary.

use jujubehold_core::candidate_choice::{CandidateChoice, choose_candidate};
use log::info;

use super::super::LEAD_KEY;
use super::super::lead_document::parse_leads;
use super::super::peers::Peers;
use super::super::store_calls::{CALL_TIMEOUT, within};
use super::LEAD_LOOK;
use super::STEP_PAUSE;
use super::announce::{Announced, is_current};
use super::candidates::{
    ask_all, has_all_answers, is_marked, keep_mark, leads_soon, resume_others,
};
use super::stopping::{begin_wait, wait_for_stop};
use crate::prelude::*;
use crate::protocol::{PromotionCall, PromotionOrder, PromotionOutcome, Store};
use crate::shared::millis;

/// How long a promotion order may take.
const ORDER_TIMEOUT: Duration = Duration::from_millis(400);
/// How old the proof may be that this host still makes the change when it gives the order.
const ORDER_PROOF_AGE: Duration = Duration::from_millis(300);
/// How long a replica may take to receive what a primary that left by plan had.
const CATCH_UP_WAIT: Duration = Duration::from_millis(1_200);

/// Promotes a replica and waits until it leads; `None` when the change was taken over.
pub(super) async fn promote_one<P: Platform>(
    shared: &Rc<Shared<P>>,
    peers: &Rc<Peers>,
    announced: &Announced,
    least: Option<LogPosition>,
) -> Option<InstanceId> {
    let mut wait = None;
    let mut marked: Option<InstanceId> = None;
    let catch_up_until = shared.now() + CATCH_UP_WAIT;
    loop {
        if !is_current(shared, announced) {
            return None;
        }
        let statuses = ask_all(shared, announced).await;
        let chosen = match choose_candidate(&announced.old, &statuses) {
            CandidateChoice::AlreadyPrimary(instance) => {
                let mut wait = begin_wait(shared, announced, announced.since).await;
                wait_for_stop(shared, peers, announced, &mut wait).await?;
                return Some(instance);
            }
            CandidateChoice::Promote(instance) => instance,
            CandidateChoice::None => {
                actix_rt::time::sleep(STEP_PAUSE).await;
                continue;
            }
        };
        // One that is marked receives nothing, and stays the choice while it answers.
        let chosen = marked
            .clone()
            .filter(|marked| statuses.iter().any(|status| status.instance == *marked))
            .unwrap_or(chosen);
        let has_caught_up = least.is_none_or(|least| {
            let received = statuses.iter().find(|status| status.instance == chosen);
            received.is_some_and(|status| status.received >= least)
        });
        let may_go_on = has_all_answers(shared, announced, &statuses)
            && (has_caught_up || shared.now() >= catch_up_until);
        if !may_go_on {
            actix_rt::time::sleep(LEAD_LOOK).await;
            continue;
        }
        let Some(marked_at) = keep_mark(shared, &chosen, &statuses).await else {
            marked = None;
            actix_rt::time::sleep(STEP_PAUSE).await;
            continue;
        };
        marked = Some(chosen.clone());
        let wait = match &mut wait {
            Some(wait) => wait,
            None => wait.insert(begin_wait(shared, announced, announced.since).await),
        };
        if let Some(marked_at) = marked_at {
            wait.restart(marked_at);
        }
        wait_for_stop(shared, peers, announced, wait).await?;
        if is_marked(shared, &chosen).await
            && order(shared, announced, &chosen).await?
            && leads_soon(shared, &chosen).await
        {
            resume_others(shared, announced, &chosen);
            return Some(chosen);
        }
        actix_rt::time::sleep(STEP_PAUSE).await;
    }
}

/// Orders a promotion; whether it was taken, and `None` when the change was taken over.
///
/// The store is asked once more who makes the change, and the order goes out only shortly after: a
/// host that was suspended in between must not give an order that a later one has overtaken.
async fn order<P: Platform>(
    shared: &Rc<Shared<P>>,
    announced: &Announced,
    instance: &InstanceId,
) -> Option<bool> {
    let asked_at = shared.now();
    let call = shared.store.read(LEAD_KEY);
    let read = within(shared, "read_lead", CALL_TIMEOUT, call).await;
    let Ok((Some(item), _)) = read else {
        return Some(false);
    };
    if let Some(table) = parse_leads(&item.value, item.revision) {
        shared.adopt_table(table);
    }
    if !is_current(shared, announced) {
        return None;
    }
    let order = PromotionOrder {
        service: announced.service.clone(),
        instance: instance.clone(),
        host: shared.settings.host.clone(),
        fencing_token: announced.fencing_token,
    };
    if shared.now().saturating_sub(asked_at) > ORDER_PROOF_AGE {
        return Some(false);
    }
    let outcome = shared.promotion.promote(&order, ORDER_TIMEOUT).await;
    info!(service = announced.service.as_str(), instance = instance.as_str(),
        fencing_token = announced.fencing_token, outcome:? = outcome, now_ms = millis(shared.now());
        "promotion ordered");
    Some(match outcome {
        // Whether an order without an answer was taken, the instance itself tells.
        PromotionOutcome::Taken | PromotionOutcome::Unknown => true,
        PromotionOutcome::Refused | PromotionOutcome::Unavailable => false,
    })
}
