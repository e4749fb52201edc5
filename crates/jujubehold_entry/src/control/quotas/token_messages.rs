//! Requests for tokens and their answers.

use jujubehold_core::quota::{TokenAnswer, TokenGrant, TokenRequest};
use metrics::counter;

use super::operations::{CustomerTokens, serve};
use crate::control::peer_message::{PeerMessage, PeerMessageKind, QuotaMessage};
use crate::control::peers::{Peers, new_message};
use crate::metric_names::{QUOTA_REQUESTS, QUOTA_TOKENS};
use crate::prelude::*;

// Sends a request. Returns whether it was answered at once, by this host itself.
pub(super) fn send_request<P: Platform>(
    shared: &Shared<P>,
    customer: &CustomerId,
    state: &CustomerTokens,
    to: &HostId,
    request: &TokenRequest,
) -> bool {
    let is_own = *to == shared.settings.host;
    let receiver = if is_own { "this host" } else { "another host" };
    counter!(QUOTA_REQUESTS, "to" => receiver).increment(1);
    if is_own {
        let answer = grant(shared, customer, request);
        note_answer(shared, customer, state, (request.number, to), answer);
        return true;
    }
    if let Some(peers) = shared.quotas.peers.get() {
        let mut message = new_message(shared, PeerMessageKind::TokenRequest);
        message.quota = Some(QuotaMessage {
            customer: customer.to_string(),
            number: request.number,
            tokens: request.tokens,
            refused: request.refused,
            ..QuotaMessage::default()
        });
        peers.send_to(shared, to, &message);
    }
    false
}

// Applies the answer of `from` to the request `number`.
fn note_answer<P: Platform>(
    shared: &Shared<P>,
    customer: &CustomerId,
    state: &CustomerTokens,
    (number, from): (u64, &HostId),
    answer: TokenAnswer,
) {
    let now = shared.now();
    shared.quotas.with_keepers(now, customer, |keepers| {
        let mut tokens = state.tokens.borrow_mut();
        tokens.note_answer(now, number, from, answer, keepers);
    });
}

// Grants tokens if this host keeps the customer's quota and knows the customer.
fn grant<P: Platform>(
    shared: &Shared<P>,
    customer: &CustomerId,
    request: &TokenRequest,
) -> TokenAnswer {
    let quota = {
        let configuration = shared.configuration.borrow();
        let customers = configuration
            .as_ref()
            .and_then(|current| current.customers.as_ref());
        customers.and_then(|customers| customers.quota_of(customer))
    };
    let limit = match quota {
        None => return TokenAnswer::NotKeeper(None),
        // The requesting host may have an older configuration, in which the customer had a quota.
        Some(None) => {
            return TokenAnswer::Granted(TokenGrant {
                tokens: request.tokens,
                next_in: Duration::ZERO,
                interval: Duration::ZERO,
                retry_in: Duration::ZERO,
            });
        }
        Some(Some(limit)) => limit,
    };
    let now = shared.now();
    let hosts = shared.quotas.hosts.borrow();
    let mut state = shared.quotas.shares.borrow_mut();
    let answer = state.answer_tokens(now, &hosts, customer, limit, request);
    if let TokenAnswer::Granted(grant) = &answer {
        counter!(QUOTA_TOKENS).increment(grant.tokens.into());
    }
    answer
}

/// Answers another host's request for tokens.
pub(crate) fn answer_token_request<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    message: &PeerMessage,
) {
    let Some(quota) = &message.quota else {
        return;
    };
    let request = TokenRequest {
        number: quota.number,
        tokens: quota.tokens,
        refused: quota.refused,
    };
    let customer = CustomerId::from(quota.customer.as_str());
    let mut answer = QuotaMessage {
        customer: quota.customer.clone(),
        number: quota.number,
        ..QuotaMessage::default()
    };
    match grant(shared, &customer, &request) {
        TokenAnswer::Granted(grant) => {
            answer.tokens = grant.tokens;
            // A host that got all it asked for needs no times.
            if grant.tokens < request.tokens {
                answer.next_in_us = micros(grant.next_in);
                answer.interval_us = micros(grant.interval);
                answer.retry_in_us = micros(grant.retry_in);
            }
        }
        TokenAnswer::NotKeeper(keeper) => {
            answer.keeper = Some(keeper.unwrap_or_default().into());
        }
    }
    let mut reply = new_message(shared, PeerMessageKind::TokenAnswer);
    reply.quota = Some(answer);
    peers.send_to(shared, &message.from, &reply);
}

/// Applies the answer to a request of this host.
pub(crate) fn apply_token_answer<P: Platform>(shared: &Rc<Shared<P>>, message: &PeerMessage) {
    let Some(quota) = &message.quota else {
        return;
    };
    let customer = CustomerId::from(quota.customer.as_str());
    let state = shared.quotas.customers.borrow().get(&customer).cloned();
    let Some(state) = state else {
        return;
    };
    let answer = if let Some(keeper) = &quota.keeper {
        let is_known = !keeper.is_empty();
        TokenAnswer::NotKeeper(is_known.then(|| keeper.as_str().into()))
    } else {
        TokenAnswer::Granted(TokenGrant {
            tokens: quota.tokens,
            next_in: Duration::from_micros(quota.next_in_us),
            interval: Duration::from_micros(quota.interval_us),
            retry_in: Duration::from_micros(quota.retry_in_us),
        })
    };
    let from = HostId::from(message.from.as_str());
    note_answer(shared, &customer, &state, (quota.number, &from), answer);
    serve(shared, &customer, &state);
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
