//! Requests tokens for the operations of customers that have a quota, and grants them to other
//! hosts.
//!
//! The decisions are in [`jujubehold_core::quota`]. A host that grants for a customer itself sends
//! no datagram for it, and without quotas nothing is sent at all.

use std::cell::{Cell, OnceCell, RefCell};
use std::collections::BTreeMap;

use jujubehold_core::quota::{
    BucketHandover, OwnListing, QuotaAction, QuotaGrantor, QuotaHosts, QuotaLimit, QuotaTokens,
    TokenAnswer, TokenGrant, TokenRequest,
};
use jujubehold_core::wait_policy::WaitPolicy;
use jujubehold_settings::EntrySettings;
use log::info;
use metrics::counter;
use tokio::sync::{Notify, oneshot};

use super::peer_message::{PeerMessage, PeerMessageKind, QuotaMessage};
use super::peers::{Peers, new_message};
use crate::metric_names::{QUOTA_HANDOVERS, QUOTA_REQUESTS, QUOTA_TOKENS};
use crate::phase::Phase;
use crate::prelude::*;
use crate::shared::millis;

/// How often the list of hosts is compared with the known one, and handovers are sent again.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// When the callers of a customer whose quota admits nothing should retry.
const NOTHING_ADMITTED_RETRY: Duration = Duration::from_secs(2);

/// The state of quotas on this host.
#[derive(Debug)]
pub(crate) struct Quotas {
    hosts: RefCell<QuotaHosts>,
    hosts_digest: Cell<Option<u64>>,
    grantor: RefCell<QuotaGrantor>,
    customers: RefCell<BTreeMap<CustomerId, Rc<CustomerTokens>>>,
    last_operation: Cell<u64>,
    peers: OnceCell<Rc<Peers>>,
}

/// The tokens of one customer on this host, and the operations that wait for them.
#[derive(Debug, Default)]
struct CustomerTokens {
    tokens: RefCell<QuotaTokens>,
    waiting: RefCell<BTreeMap<u64, oneshot::Sender<Result<Monotonic, Refusal>>>>,
    /// Wakes the task that handles the waiting operations.
    changed: Notify,
    has_task: Cell<bool>,
}

/// The token of an operation that may run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct AdmittedOperation {
    /// Until when the token may be used; `None` if the operation needs none.
    token_expires_at: Option<Monotonic>,
}

impl Quotas {
    pub(crate) fn new(settings: &EntrySettings) -> Self {
        let hosts = QuotaHosts::new(settings.host.clone());
        Self {
            hosts: RefCell::new(hosts),
            hosts_digest: Cell::new(None),
            grantor: RefCell::new(QuotaGrantor::new(settings.quota_bound)),
            customers: RefCell::default(),
            last_operation: Cell::new(0),
            peers: OnceCell::new(),
        }
    }

    /// Sets the socket to the other hosts.
    pub(super) fn set_peers(&self, peers: Rc<Peers>) {
        // It is set once, before the host accepts callers.
        let _ = self.peers.set(peers);
    }

    fn customer(&self, customer: &CustomerId) -> Rc<CustomerTokens> {
        let mut customers = self.customers.borrow_mut();
        Rc::clone(customers.entry(customer.clone()).or_default())
    }

    fn next_operation(&self) -> u64 {
        let number = self.last_operation.get() + 1;
        self.last_operation.set(number);
        number
    }
}

/// Waits for a token for an operation of `customer` until `give_up_at`.
///
/// # Errors
/// Returns a refusal if the quota is used up, or if no host answers that could grant it.
pub(crate) async fn admit<P: Platform>(
    shared: &Rc<Shared<P>>,
    customer: Option<&CustomerId>,
    give_up_at: Monotonic,
) -> Result<AdmittedOperation, Refusal> {
    let Some((customer, limit)) = limited(shared, customer) else {
        return Ok(AdmittedOperation {
            token_expires_at: None,
        });
    };
    if limit.admits_nothing() {
        let reason = RefusalReason::QuotaExceeded;
        return Err(Refusal::transient(reason, NOTHING_ADMITTED_RETRY));
    }
    let state = shared.quotas.customer(customer);
    let id = shared.quotas.next_operation();
    let (sender, receiver) = oneshot::channel();
    state.waiting.borrow_mut().insert(id, sender);
    state.tokens.borrow_mut().wait(id, give_up_at);
    serve(shared, customer, &state);
    let result = receiver.await;
    // The sender is dropped only with the host.
    let unknown = || WaitPolicy::default().refuse(RefusalReason::QuotaUnknown, Duration::ZERO);
    let expires_at = result.unwrap_or_else(|_| Err(unknown()))?;
    Ok(AdmittedOperation {
        token_expires_at: Some(expires_at),
    })
}

/// Requests a token for an operation of `customer` whose first statement is about to arrive.
pub(crate) fn expect_operation<P: Platform>(shared: &Rc<Shared<P>>, customer: Option<&CustomerId>) {
    if let Some((customer, limit)) = limited(shared, customer)
        && !limit.admits_nothing()
    {
        let state = shared.quotas.customer(customer);
        state.tokens.borrow_mut().expect(shared.now());
        serve(shared, customer, &state);
    }
}

/// Takes back the token of an operation that did not run, so that another one can use it.
pub(crate) fn give_back<P: Platform>(
    shared: &Rc<Shared<P>>,
    customer: Option<&CustomerId>,
    admitted: AdmittedOperation,
) {
    if let (Some(customer), Some(expires_at)) = (customer, admitted.token_expires_at) {
        let state = shared.quotas.customer(customer);
        state.tokens.borrow_mut().give_back(expires_at);
        serve(shared, customer, &state);
    }
}

// Returns the customer with its quota if it has one.
fn limited<'a, P: Platform>(
    shared: &Shared<P>,
    customer: Option<&'a CustomerId>,
) -> Option<(&'a CustomerId, QuotaLimit)> {
    let customer = customer?;
    let configuration = shared.configuration.borrow();
    let customers = configuration.as_ref()?.customers.as_ref()?;
    Some((customer, customers.quota(customer)?))
}

// Does what is due for a customer, and starts a task for what is due later.
fn serve<P: Platform>(shared: &Rc<Shared<P>>, customer: &CustomerId, state: &Rc<CustomerTokens>) {
    run_steps(shared, customer, state);
    if state.tokens.borrow().wake_at().is_none() {
        return;
    }
    state.changed.notify_one();
    if !state.has_task.replace(true) {
        let task = serve_later(Rc::clone(shared), customer.clone(), Rc::clone(state));
        actix_rt::spawn(task);
    }
}

async fn serve_later<P: Platform>(
    shared: Rc<Shared<P>>,
    customer: CustomerId,
    state: Rc<CustomerTokens>,
) {
    loop {
        let Some(wake_at) = state.tokens.borrow().wake_at() else {
            break;
        };
        let pause = wake_at.saturating_sub(shared.now());
        // The steps are the same in either case.
        let _ = tokio::time::timeout(pause, state.changed.notified()).await;
        run_steps(&shared, &customer, &state);
    }
    state.has_task.set(false);
}

fn run_steps<P: Platform>(shared: &Shared<P>, customer: &CustomerId, state: &CustomerTokens) {
    loop {
        let now = shared.now();
        let actions = {
            let hosts = shared.quotas.hosts.borrow();
            state.tokens.borrow_mut().step(now, &hosts, customer)
        };
        let mut is_answered = false;
        for action in actions {
            match action {
                QuotaAction::Admit { id, expires_at } => end_wait(state, id, Ok(expires_at)),
                QuotaAction::Refuse {
                    id,
                    reason,
                    retry_in,
                } => {
                    let refusal = WaitPolicy::default().refuse(reason, retry_in);
                    end_wait(state, id, Err(refusal));
                }
                QuotaAction::Request { to, request } => {
                    is_answered |= send_request(shared, customer, state, &to, &request);
                }
            }
        }
        if !is_answered {
            return;
        }
    }
}

fn end_wait(state: &CustomerTokens, id: u64, result: Result<Monotonic, Refusal>) {
    let sender = state.waiting.borrow_mut().remove(&id);
    let Some(sender) = sender else {
        return;
    };
    // The caller's session may have ended in the meantime; then another operation can use the token.
    if let Err(Ok(expires_at)) = sender.send(result) {
        state.tokens.borrow_mut().give_back(expires_at);
    }
}

// Sends a request. Returns whether it was answered at once, by this host itself.
fn send_request<P: Platform>(
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
        let answer = grant(shared, customer, request).unwrap_or(TokenAnswer::NotGrantor(None));
        let now = shared.now();
        let mut tokens = state.tokens.borrow_mut();
        tokens.note_answer(now, request.number, to, answer);
        return true;
    }
    if let Some(peers) = shared.quotas.peers.get() {
        let mut message = new_message(shared, PeerMessageKind::TokenRequest);
        message.quota = Some(QuotaMessage {
            customer: customer.to_string(),
            number: request.number,
            tokens: request.tokens,
            refused: request.refused,
            is_for_backup: request.is_for_backup,
            ..QuotaMessage::default()
        });
        peers.send_to(shared, to, &message);
    }
    false
}

// Grants tokens; `None` if this host does not know the customer, or has no configuration yet.
fn grant<P: Platform>(
    shared: &Shared<P>,
    customer: &CustomerId,
    request: &TokenRequest,
) -> Option<TokenAnswer> {
    let quota = {
        let configuration = shared.configuration.borrow();
        let customers = configuration.as_ref()?.customers.as_ref()?;
        customers.quota_of(customer)?
    };
    // The requesting host may have an older configuration, in which the customer had a quota.
    let Some(limit) = quota else {
        return Some(TokenAnswer::Granted(TokenGrant {
            tokens: request.tokens,
            is_full: true,
            next_in: Duration::ZERO,
            interval: Duration::ZERO,
            retry_in: Duration::ZERO,
        }));
    };
    let now = shared.now();
    refresh_hosts(shared, now);
    let hosts = shared.quotas.hosts.borrow();
    let mut grantor = shared.quotas.grantor.borrow_mut();
    let held_before = grantor.holds(customer);
    let answer = grantor.answer(now, &hosts, customer, limit, request);
    if grantor.holds(customer) != held_before && shared.log.allows(now) {
        info!(customer = customer.as_str(), holds_bucket = !held_before, now_ms = millis(now);
            "began or ceased to grant a customer's quota");
    }
    if let TokenAnswer::Granted(grant) = &answer {
        let bucket = if grant.is_full { "full" } else { "backup" };
        counter!(QUOTA_TOKENS, "bucket" => bucket).increment(grant.tokens.into());
    }
    Some(answer)
}

/// Answers another host's request for tokens.
pub(super) fn answer_request<P: Platform>(
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
        is_for_backup: quota.is_for_backup,
    };
    let customer = CustomerId::from(quota.customer.as_str());
    let answer = grant(shared, &customer, &request).unwrap_or(TokenAnswer::NotGrantor(None));
    let mut reply = new_message(shared, PeerMessageKind::TokenAnswer);
    let mut quota = QuotaMessage {
        customer: quota.customer.clone(),
        number: quota.number,
        ..QuotaMessage::default()
    };
    match answer {
        TokenAnswer::Granted(grant) => {
            quota.tokens = grant.tokens;
            quota.is_full = grant.is_full;
            // A host that got all it asked for needs no times.
            if grant.tokens < request.tokens {
                quota.next_in_us = micros(grant.next_in);
                quota.interval_us = micros(grant.interval);
                quota.retry_in_us = micros(grant.retry_in);
            }
        }
        TokenAnswer::NotGrantor(to) => {
            quota.grantor = Some(to.unwrap_or_default().into());
        }
    }
    reply.quota = Some(quota);
    peers.send_to(shared, &message.from, &reply);
}

/// Applies the answer to a request of this host.
pub(super) fn apply_answer<P: Platform>(shared: &Rc<Shared<P>>, message: &PeerMessage) {
    let Some(quota) = &message.quota else {
        return;
    };
    let customer = CustomerId::from(quota.customer.as_str());
    let state = shared.quotas.customers.borrow().get(&customer).cloned();
    let Some(state) = state else {
        return;
    };
    let answer = if let Some(grantor) = &quota.grantor {
        let is_known = !grantor.is_empty();
        TokenAnswer::NotGrantor(is_known.then(|| grantor.as_str().into()))
    } else {
        TokenAnswer::Granted(TokenGrant {
            tokens: quota.tokens,
            is_full: quota.is_full,
            next_in: Duration::from_micros(quota.next_in_us),
            interval: Duration::from_micros(quota.interval_us),
            retry_in: Duration::from_micros(quota.retry_in_us),
        })
    };
    let from = HostId::from(message.from.as_str());
    let now = shared.now();
    state
        .tokens
        .borrow_mut()
        .note_answer(now, quota.number, &from, answer);
    serve(shared, &customer, &state);
}

/// Receives a customer's bucket and confirms it.
pub(super) fn receive_handover<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    message: &PeerMessage,
) {
    let Some(quota) = &message.quota else {
        return;
    };
    let now = shared.now();
    refresh_hosts(shared, now);
    if quota.is_leaving {
        let from = HostId::from(message.from.as_str());
        shared.quotas.hosts.borrow_mut().note_leaving(&from);
    }
    let customer = CustomerId::from(quota.customer.as_str());
    let is_received = {
        let hosts = shared.quotas.hosts.borrow();
        let mut grantor = shared.quotas.grantor.borrow_mut();
        grantor.receive_handover(now, &hosts, &customer, quota.number, quota.tokens)
    };
    if !is_received {
        return;
    }
    counter!(QUOTA_HANDOVERS, "direction" => "received").increment(1);
    if shared.log.allows(now) {
        info!(customer = customer.as_str(), from = message.from.as_str(),
            tokens = quota.tokens, now_ms = millis(now);
            "received a customer's quota bucket");
    }
    let mut reply = new_message(shared, PeerMessageKind::HandoverConfirmed);
    reply.quota = Some(QuotaMessage {
        customer: quota.customer.clone(),
        number: quota.number,
        ..QuotaMessage::default()
    });
    peers.send_to(shared, &message.from, &reply);
}

/// Records that another host confirmed a handover.
pub(super) fn note_confirmed<P: Platform>(shared: &Shared<P>, message: &PeerMessage) {
    if let Some(quota) = &message.quota {
        let mut grantor = shared.quotas.grantor.borrow_mut();
        grantor.confirm_handover(&quota.customer, quota.number);
    }
}

/// Follows the list of hosts, and hands over buckets that another host has to hold.
pub(super) async fn maintain_buckets<P: Platform>(shared: Rc<Shared<P>>) {
    let mut phase = shared.phase.subscribe();
    loop {
        // A host that begins to leave hands over its buckets at once.
        let _ = tokio::time::timeout(CHECK_INTERVAL, phase.changed()).await;
        let now = shared.now();
        refresh_hosts(&shared, now);
        let is_leaving = *phase.borrow_and_update() != Phase::Serving && has_other_hosts(&shared);
        if is_leaving {
            shared.quotas.grantor.borrow_mut().leave();
            let own = &shared.settings.host;
            shared.quotas.hosts.borrow_mut().note_leaving(own);
        }
        hand_over(&shared, now, is_leaving);
    }
}

fn has_other_hosts<P: Platform>(shared: &Shared<P>) -> bool {
    let lead_state = shared.lead_state.borrow();
    let own = &shared.settings.host;
    lead_state.members.keys().any(|host| host != own)
}

fn hand_over<P: Platform>(shared: &Shared<P>, now: Monotonic, is_leaving: bool) {
    let handovers = {
        let hosts = shared.quotas.hosts.borrow();
        let mut grantor = shared.quotas.grantor.borrow_mut();
        let limits = |customer: &CustomerId| Some(limited(shared, Some(customer))?.1);
        grantor.handovers(now, &hosts, limits, rand::random)
    };
    for (customer, handover) in handovers {
        let BucketHandover { to, nonce, tokens } = handover;
        counter!(QUOTA_HANDOVERS, "direction" => "sent").increment(1);
        if shared.log.allows(now) {
            info!(customer = customer.as_str(), to = to.as_str(), tokens, now_ms = millis(now);
                "handing over a customer's quota bucket");
        }
        let mut message = new_message(shared, PeerMessageKind::BucketHandover);
        message.quota = Some(QuotaMessage {
            customer: customer.into(),
            number: nonce,
            tokens,
            is_leaving,
            ..QuotaMessage::default()
        });
        if let Some(peers) = shared.quotas.peers.get() {
            peers.send_to(shared, &to, &message);
        }
    }
}

// Brings the list of hosts up to date.
fn refresh_hosts<P: Platform>(shared: &Shared<P>, now: Monotonic) {
    let lead_state = shared.lead_state.borrow();
    let mut hosts = shared.quotas.hosts.borrow_mut();
    let digest = Some(lead_state.members_digest);
    if shared.quotas.hosts_digest.replace(digest) != digest {
        let members = lead_state.members.iter();
        let listed = members.map(|(host, member)| (host.clone(), member.key_revision));
        hosts.set_listed(now, listed.collect());
    }
    let own = lead_state.membership.as_ref().map(|own| OwnListing {
        revision: own.key_revision,
        since: own.joined_at,
    });
    let proved_until = lead_state.proof.read_valid_until();
    hosts.set_own(own, proved_until.unwrap_or_default());
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
