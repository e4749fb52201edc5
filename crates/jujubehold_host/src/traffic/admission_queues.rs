//! The admission queues of all services on this host, one for each of a service's [`SlotTarget`]s.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubehold_core::admission::{
    Admission, AdmissionRequest, AdmissionSettings, Admitted, CallerKey, RefusedTicket, Released,
    RequestClass, SlotTarget, Ticket,
};
use jujubehold_core::prelude::*;
use log::debug;
use tokio::sync::oneshot;

use crate::clock::Clock;
use crate::routing_table::ServiceRoute;

/// The retry delay of a request whose queue entry no longer exists.
const RETRY_AFTER: Duration = Duration::from_millis(100);

/// Passes each request to the core's [`Admission`], and wakes waiting requests when they are
/// admitted.
#[derive(Debug, Default)]
pub struct AdmissionQueues {
    queues: Mutex<BTreeMap<(ServiceId, SlotTarget), Arc<SlotQueue>>>,
    next_ticket: AtomicU64,
}

#[derive(Debug)]
struct SlotQueue {
    state: Mutex<QueueState>,
}

#[derive(Debug)]
struct QueueState {
    admission: Admission,
    waiting: BTreeMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
}

/// A request that waits in the queue.
#[derive(Debug)]
struct QueuedRequest {
    decision: oneshot::Receiver<Result<(), Refusal>>,
    expires_at: Monotonic,
}

/// A slot that is held by a running request, and released when dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    queue: Arc<SlotQueue>,
    ticket: Ticket,
    clock: Clock,
}

impl AdmissionQueues {
    /// Waits for a slot of the instances that `target` denotes.
    ///
    /// # Errors
    /// A request that can't be admitted before its deadline is refused as soon as that is known.
    pub(crate) async fn admit(
        &self,
        clock: Clock,
        route: &ServiceRoute,
        target: SlotTarget,
        caller: &CallerKey,
        deadline: Monotonic,
    ) -> Result<Slot, Refusal> {
        let queue = self.queue(route, target);
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let request = AdmissionRequest {
            ticket,
            caller: caller.clone(),
            class: class_of(target),
            deadline,
        };
        // From here on, dropping the slot also removes a request that still waits from the queue.
        let slot = Slot {
            queue: queue.clone(),
            ticket,
            clock,
        };
        let Some(mut queued) = queue.offer(clock.now(), request)? else {
            return Ok(slot);
        };
        let wait = queued.expires_at.saturating_sub(clock.now());
        let timed_decision = tokio::time::timeout(wait, &mut queued.decision).await;
        let decision = if let Ok(decision) = timed_decision {
            decision.ok()
        } else {
            queue.tick(clock.now());
            queued.decision.try_recv().ok()
        };
        match decision {
            Some(decision) => decision.map(|()| slot),
            None => Err(Refusal::transient(
                RefusalReason::DeadlineTooShort,
                RETRY_AFTER,
            )),
        }
    }

    fn queue(&self, route: &ServiceRoute, target: SlotTarget) -> Arc<SlotQueue> {
        let config = &route.config;
        let slots = target.slots(config, route.view.primary.as_ref());
        let limit = config.queue as usize;
        let key = (config.service.clone(), target);
        let mut queues = lock(&self.queues);
        let queue = queues.entry(key).or_insert_with(|| {
            let settings = AdmissionSettings {
                slots,
                queue: limit,
                ..AdmissionSettings::default()
            };
            let state = QueueState {
                admission: Admission::new(settings),
                waiting: BTreeMap::new(),
            };
            Arc::new(SlotQueue {
                state: Mutex::new(state),
            })
        });
        lock(&queue.state).admission.set_limits(slots, limit);
        queue.clone()
    }
}

fn class_of(target: SlotTarget) -> RequestClass {
    match target {
        SlotTarget::Readers => RequestClass::Lookup,
        SlotTarget::Primary => RequestClass::Write,
    }
}

impl SlotQueue {
    // Returns `None` if the request may run immediately.
    fn offer(
        &self,
        now: Monotonic,
        request: AdmissionRequest,
    ) -> Result<Option<QueuedRequest>, Refusal> {
        let mut state = lock(&self.state);
        let ticket = request.ticket;
        let offered = state.admission.offer(now, request);
        if let Err(refusal) = &offered.decision {
            let (running, waiting) = (
                state.admission.running_count(),
                state.admission.waiting_count(),
            );
            debug!(reason = refusal.reason.as_str(), retry_after:? = refusal.retry_after, running, waiting;
                "no slot was granted");
        }
        if let Some(displaced) = offered.displaced {
            state.refuse(displaced);
        }
        match offered.decision? {
            Admitted::Start => Ok(None),
            Admitted::Wait => {
                let (sender, decision) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                let expires_at = offered.expires_at.unwrap_or(now);
                Ok(Some(QueuedRequest {
                    decision,
                    expires_at,
                }))
            }
        }
    }

    // While an upstream hangs, its slots may never be released, so a waiting request checks the
    // queue itself.
    fn tick(&self, now: Monotonic) {
        let mut state = lock(&self.state);
        let released = state.admission.tick(now);
        state.apply(released);
    }
}

impl QueueState {
    fn apply(&mut self, released: Released) {
        for expired in released.expired {
            self.refuse(expired);
        }
        for ticket in released.started {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // A request that was abandoned releases its slot when its `Slot` is dropped.
                let _ = waiting.send(Ok(()));
            }
        }
    }

    fn refuse(&mut self, refused: RefusedTicket) {
        let (running, waiting) = (
            self.admission.running_count(),
            self.admission.waiting_count(),
        );
        debug!(reason = refused.refusal.reason.as_str(), running, waiting;
            "a waiting request was refused");
        if let Some(waiting) = self.waiting.remove(&refused.ticket) {
            let _ = waiting.send(Err(refused.refusal));
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = lock(&self.queue.state);
        state.waiting.remove(&self.ticket);
        state.admission.cancel(self.ticket);
        let released = state.admission.release(self.clock.now(), self.ticket);
        state.apply(released);
    }
}

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
