//! Operations that wait for tokens of their customers.

use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;

use jujubehold_core::quota::{QuotaAction, QuotaTokens};
use jujubehold_core::wait_policy::WaitPolicy;
use tokio::sync::{Notify, oneshot};

use super::token_messages::send_request;
use super::{Quotas, limited};
use crate::prelude::*;

/// When the callers of a customer whose quota admits nothing should retry.
const NOTHING_ADMITTED_RETRY: Duration = Duration::from_secs(2);

/// The tokens of one customer on this host, and the operations that wait for them.
#[derive(Debug, Default)]
pub(super) struct CustomerTokens {
    pub(super) tokens: RefCell<QuotaTokens>,
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

// Does what is due for a customer, and starts a task for what is due later.
pub(super) fn serve<P: Platform>(
    shared: &Rc<Shared<P>>,
    customer: &CustomerId,
    state: &Rc<CustomerTokens>,
) {
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
        let actions = shared.quotas.with_keepers(now, customer, |keepers| {
            let mut tokens = state.tokens.borrow_mut();
            tokens.step(now, keepers)
        });
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
