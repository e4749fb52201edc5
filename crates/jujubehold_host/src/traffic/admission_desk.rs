//! The queues of all services on this host.

use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use jujubehold_core::admission::{
    Admission, AdmissionRequest, AdmissionSettings, Admitted, CallerKey, RefusedTicket, Released,
    RequestClass, Ticket,
};
use jujubehold_core::prelude::*;
use tokio::sync::oneshot;

use crate::clock::Clock;

/// Asks the core's [`Admission`] for every request, and wakes those whose turn comes.
#[derive(Debug, Default)]
pub struct AdmissionDesk {
    queues: Mutex<BTreeMap<ServiceId, Arc<ServiceQueue>>>,
    next_ticket: AtomicU64,
}

#[derive(Debug)]
struct ServiceQueue {
    state: Mutex<QueueState>,
}

#[derive(Debug)]
struct QueueState {
    admission: Admission,
    waiting: BTreeMap<Ticket, oneshot::Sender<Result<(), Refusal>>>,
}

/// A slot that a running request holds until it is dropped.
#[derive(Debug)]
pub(crate) struct Slot {
    queue: Arc<ServiceQueue>,
    ticket: Ticket,
    clock: Clock,
}

impl AdmissionDesk {
    /// Waits for a slot.
    pub(crate) async fn admit(
        &self,
        clock: Clock,
        config: &ServiceConfig,
        caller: &CallerKey,
        class: RequestClass,
        deadline: Monotonic,
    ) -> Result<Slot, Refusal> {
        let queue = self.queue(config);
        let ticket = self.next_ticket.fetch_add(1, Ordering::Relaxed);
        let request = AdmissionRequest {
            ticket,
            caller: caller.clone(),
            class,
            deadline,
        };
        // From here on a drop gives the slot, or the place in the queue, back.
        let slot = Slot {
            queue: queue.clone(),
            ticket,
            clock,
        };
        let receiver = queue.offer(clock.now(), request)?;
        let Some(receiver) = receiver else {
            return Ok(slot);
        };
        let wait = deadline.saturating_sub(clock.now());
        match tokio::time::timeout(wait, receiver).await {
            Ok(Ok(decision)) => decision.map(|()| slot),
            Ok(Err(_)) | Err(_) => Err(Refusal::transient(
                RefusalReason::DeadlineTooShort,
                Duration::from_millis(100),
            )),
        }
    }

    fn queue(&self, config: &ServiceConfig) -> Arc<ServiceQueue> {
        let slots = config.slots as usize * config.instances.len();
        let limits = (slots.max(1), config.queue as usize);
        let mut queues = lock(&self.queues);
        let queue = queues.entry(config.service.clone()).or_insert_with(|| {
            let settings = AdmissionSettings {
                slots: limits.0,
                queue: limits.1,
                ..AdmissionSettings::default()
            };
            let state = QueueState {
                admission: Admission::new(settings),
                waiting: BTreeMap::new(),
            };
            Arc::new(ServiceQueue {
                state: Mutex::new(state),
            })
        });
        lock(&queue.state).admission.set_limits(limits.0, limits.1);
        queue.clone()
    }
}

impl ServiceQueue {
    // `None` when the request runs at once.
    fn offer(
        &self,
        now: Monotonic,
        request: AdmissionRequest,
    ) -> Result<Option<oneshot::Receiver<Result<(), Refusal>>>, Refusal> {
        let mut state = lock(&self.state);
        let ticket = request.ticket;
        let offered = state.admission.offer(now, request);
        if let Some(displaced) = offered.displaced {
            state.refuse(displaced);
        }
        match offered.decision? {
            Admitted::Start => Ok(None),
            Admitted::Wait => {
                let (sender, receiver) = oneshot::channel();
                state.waiting.insert(ticket, sender);
                Ok(Some(receiver))
            }
        }
    }
}

impl QueueState {
    fn apply(&mut self, released: Released) {
        for expired in released.expired {
            self.refuse(expired);
        }
        for ticket in released.started {
            if let Some(waiting) = self.waiting.remove(&ticket) {
                // A request that was given up releases its slot by itself.
                let _ = waiting.send(Ok(()));
            }
        }
    }

    fn refuse(&mut self, refused: RefusedTicket) {
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
