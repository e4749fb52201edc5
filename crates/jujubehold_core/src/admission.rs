//! Admission control: decides which requests start, which wait in the queue and which are refused.
//!
//! A request waits only if the slots can finish it by its deadline; any other request is refused
//! at once, so that under overload the slots run only work whose caller still wants the answer. See
//! docs/notes/admission.md.

mod fair_share;
mod service_times;
mod settings;
mod slot_target;

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use smol_str::SmolStr;

use crate::ids::Monotonic;
use crate::refusal_reason::RefusalReason;
use crate::value_type;
use crate::verdict::Refusal;

pub use settings::{AdmissionSettings, Admitted, RequestClass};
pub use slot_target::SlotTarget;

use fair_share::FairShare;
use service_times::ServiceTimes;

/// The number by which a host identifies a request.
pub type Ticket = u64;

/// Identifies whose fair share a request counts against: the caller's name, or its session when
/// several callers share a name.
pub type CallerKey = SmolStr;

value_type! {
    /// A request that asks for a slot.
    pub struct AdmissionRequest {
        /// The host's number for the request.
        pub ticket: Ticket,
        /// The caller whose share the request counts against.
        pub caller: CallerKey,
        /// The request's class.
        pub class: RequestClass,
        /// The time by which the answer is due.
        pub deadline: Monotonic,
    }

    /// The result of [`Admission::offer`].
    pub struct OfferResult {
        /// Whether the new request runs, waits or is refused.
        pub decision: Result<Admitted, Refusal>,
        /// A waiting request, of a caller that exceeds its share, that was refused to make room.
        pub displaced: Option<RefusedTicket>,
        /// When the request expires, if it waits; call [`tick`](Admission::tick) at that time.
        pub expires_at: Option<Monotonic>,
    }

    /// A waiting request that is now refused; it did not run.
    pub struct RefusedTicket {
        /// The refused request.
        pub ticket: Ticket,
        /// The reason, and when the caller may retry.
        pub refusal: Refusal,
    }

    /// The requests that left the queue in one pass over it.
    #[derive(Default)]
    pub struct Released {
        /// Requests that start now and hold a slot.
        pub started: Vec<Ticket>,
        /// Requests that can no longer finish in time.
        pub expired: Vec<RefusedTicket>,
    }

    struct Waiting {
        ticket: Ticket,
        expires_at: Monotonic,
    }

    struct Running {
        class: RequestClass,
        started_at: Monotonic,
    }
}

type CallerQueues = BTreeMap<CallerKey, VecDeque<Waiting>>;

/// The slots and the queue of one [`SlotTarget`] of a service on one host.
///
/// A waiting request takes about 150 bytes of memory, so a full queue of 64 takes about 10 KB.
#[derive(Debug, Clone)]
pub struct Admission {
    settings: AdmissionSettings,
    service_times: ServiceTimes,
    running: BTreeMap<Ticket, Running>,
    waiting: BTreeMap<RequestClass, CallerQueues>,
    waiting_count: usize,
    waiting_by_caller: BTreeMap<CallerKey, usize>,
    class_shares: FairShare<RequestClass>,
    caller_shares: BTreeMap<RequestClass, FairShare<CallerKey>>,
}

impl Admission {
    /// Creates an empty queue with all slots free.
    pub fn new(settings: AdmissionSettings) -> Self {
        Self {
            service_times: ServiceTimes::new(settings.initial_service_time),
            settings,
            running: BTreeMap::new(),
            waiting: BTreeMap::new(),
            waiting_count: 0,
            waiting_by_caller: BTreeMap::new(),
            class_shares: FairShare::default(),
            caller_shares: BTreeMap::new(),
        }
    }

    /// Sets how many requests may run at once and how many may wait.
    ///
    /// Requests that already run or wait are not affected.
    pub fn set_limits(&mut self, slots: usize, queue: usize) {
        self.settings.slots = slots;
        self.settings.queue = queue;
    }

    /// Returns the number of waiting requests.
    pub fn waiting_count(&self) -> usize {
        self.waiting_count
    }

    /// Returns the number of running requests.
    pub fn running_count(&self) -> usize {
        self.running.len()
    }

    /// Decides whether a new request starts, waits or is refused.
    pub fn offer(&mut self, now: Monotonic, request: AdmissionRequest) -> OfferResult {
        let service_time = self.service_times.mean(request.class);
        // Requests that wait although a slot is free are of a class that may not take that slot, so
        // the new request starts ahead of them.
        if self.has_slot(request.class) && self.next_caller().is_none() {
            self.start(now, &request.caller, request.class, request.ticket);
            return OfferResult::of(Ok(Admitted::Start));
        }
        let wait = self.expected_wait(&request);
        let is_too_late = now + wait + service_time > request.deadline;
        if is_too_late || wait > self.settings.max_wait {
            return OfferResult::of(Err(self.refusal(RefusalReason::DeadlineTooShort, wait)));
        }
        let mut displaced = None;
        if self.waiting_count >= self.settings.queue {
            displaced = self.displace(&request.caller, wait);
            if displaced.is_none() {
                let reason = self.queue_full_reason(&request.caller);
                return OfferResult::of(Err(self.refusal(reason, wait)));
            }
        }
        *self
            .waiting_by_caller
            .entry(request.caller.clone())
            .or_default() += 1;
        let last_start = request.deadline.saturating_sub(service_time);
        let expires_at = last_start.min(now + self.settings.max_wait);
        self.waiting
            .entry(request.class)
            .or_default()
            .entry(request.caller)
            .or_default()
            .push_back(Waiting {
                ticket: request.ticket,
                expires_at,
            });
        self.waiting_count += 1;
        OfferResult {
            decision: Ok(Admitted::Wait),
            displaced,
            expires_at: Some(expires_at),
        }
    }

    /// Frees the slot of a request that ended, and starts waiting requests in its place.
    ///
    /// A ticket that is not running, such as one released twice, frees no slot.
    pub fn release(&mut self, now: Monotonic, ticket: Ticket) -> Released {
        if let Some(ended) = self.running.remove(&ticket) {
            let taken = now.saturating_sub(ended.started_at);
            self.service_times.add_measurement(ended.class, taken);
        }
        self.fill_slots(now)
    }

    /// Removes a waiting request, for example when its caller disconnected.
    ///
    /// Returns whether the request was waiting.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let before = self.waiting_count;
        self.retain_waiting(|waiting| waiting.ticket != ticket);
        self.waiting_count < before
    }

    /// Refuses the requests that can no longer finish in time, and starts as many others as there
    /// are free slots.
    pub fn tick(&mut self, now: Monotonic) -> Released {
        self.fill_slots(now)
    }

    /// Returns the earliest time at which a waiting request expires.
    pub fn next_expiry(&self) -> Option<Monotonic> {
        self.queues()
            .flat_map(|(_, _, queue)| queue)
            .map(|waiting| waiting.expires_at)
            .min()
    }

    fn fill_slots(&mut self, now: Monotonic) -> Released {
        let expired = self.expire(now);
        let mut started = Vec::new();
        while let Some((class, caller)) = self.next_caller() {
            let Some(waiting) = self.pop(class, &caller) else {
                break;
            };
            self.start(now, &caller, class, waiting.ticket);
            started.push(waiting.ticket);
        }
        Released { started, expired }
    }

    fn expire(&mut self, now: Monotonic) -> Vec<RefusedTicket> {
        let expired: Vec<_> = self
            .queues()
            .flat_map(|(class, _, queue)| queue.iter().map(move |waiting| (class, waiting)))
            .filter(|(_, waiting)| waiting.expires_at <= now)
            .map(|(class, waiting)| RefusedTicket {
                ticket: waiting.ticket,
                refusal: self.refusal(
                    RefusalReason::DeadlineTooShort,
                    self.drain_time() + self.service_times.mean(class),
                ),
            })
            .collect();
        if !expired.is_empty() {
            self.retain_waiting(|waiting| waiting.expires_at > now);
        }
        expired
    }

    fn next_caller(&self) -> Option<(RequestClass, CallerKey)> {
        let classes = self.waiting.keys().filter(|class| self.has_slot(**class));
        let class = *self.class_shares.pick(classes)?;
        let callers = self.waiting.get(&class)?.keys();
        let caller = match self.caller_shares.get(&class) {
            Some(shares) => shares.pick(callers)?,
            None => callers.min()?,
        };
        Some((class, caller.clone()))
    }

    fn pop(&mut self, class: RequestClass, caller: &CallerKey) -> Option<Waiting> {
        let callers = self.waiting.get_mut(&class)?;
        let queue = callers.get_mut(caller)?;
        let waiting = queue.pop_front()?;
        self.waiting_count -= 1;
        if let Some(count) = self.waiting_by_caller.get_mut(caller) {
            *count -= 1;
            if *count == 0 {
                self.waiting_by_caller.remove(caller);
            }
        }
        if queue.is_empty() {
            callers.remove(caller);
        }
        if callers.is_empty() {
            self.waiting.remove(&class);
        }
        Some(waiting)
    }

    fn start(&mut self, now: Monotonic, caller: &CallerKey, class: RequestClass, ticket: Ticket) {
        let service_time = self.service_times.mean(class);
        let cost = u64::try_from(service_time.as_micros()).unwrap_or(u64::MAX / 2);
        self.class_shares.charge(&class, cost / class.weight());
        self.caller_shares
            .entry(class)
            .or_default()
            .charge(caller, cost);
        let started_at = now;
        self.running.insert(ticket, Running { class, started_at });
    }

    // Deferrable requests leave the last slot free for the other classes, which may arrive at any
    // moment.
    fn has_slot(&self, class: RequestClass) -> bool {
        let limit = match class {
            RequestClass::Lookup | RequestClass::Write => self.settings.slots,
            RequestClass::Deferrable => self.settings.slots.saturating_sub(1).max(1),
        };
        self.running.len() < limit
    }

    // With fair shares, a request waits for its caller's earlier requests, for at most one more
    // than that from each other caller, and never longer than all waiting requests take.
    fn expected_wait(&self, request: &AdmissionRequest) -> Duration {
        let own = self.waiting_count_of(&request.caller);
        let ahead: usize = self
            .waiting_by_caller
            .iter()
            .map(|(caller, count)| {
                if *caller == request.caller {
                    *count
                } else {
                    (*count).min(own + 1)
                }
            })
            .sum();
        self.estimated_time(ahead + 1)
    }

    fn drain_time(&self) -> Duration {
        self.estimated_time(self.waiting_count)
    }

    fn estimated_time(&self, requests: usize) -> Duration {
        let slowest_mean = RequestClass::ALL
            .into_iter()
            .filter(|class| {
                self.waiting.contains_key(class)
                    || self.running.values().any(|running| running.class == *class)
            })
            .map(|class| self.service_times.mean(class))
            .max()
            .unwrap_or(self.settings.initial_service_time);
        let slots = u32::try_from(self.settings.slots.max(1)).unwrap_or(u32::MAX);
        slowest_mean.saturating_mul(u32::try_from(requests).unwrap_or(u32::MAX)) / slots
    }

    // Refuses the newest request of the caller with the most waiting requests, if that caller has
    // more of them than the new request's caller would have.
    fn displace(&mut self, caller: &CallerKey, wait: Duration) -> Option<RefusedTicket> {
        let own = self.waiting_count_of(caller);
        let (largest_caller, count) = self
            .waiting_by_caller
            .iter()
            .max_by_key(|(_, count)| **count)?;
        if *count <= own + 1 {
            return None;
        }
        let largest_caller = largest_caller.clone();
        let newest = self
            .queues()
            .filter(|(_, caller, _)| **caller == largest_caller)
            .filter_map(|(_, _, queue)| queue.back())
            .max_by_key(|waiting| (waiting.expires_at, waiting.ticket))?
            .ticket;
        self.cancel(newest);
        Some(RefusedTicket {
            ticket: newest,
            refusal: self.refusal(RefusalReason::CallerOverShare, wait),
        })
    }

    fn queue_full_reason(&self, caller: &CallerKey) -> RefusalReason {
        let callers = self.waiting_by_caller.len();
        let is_over_share =
            callers > 1 && self.waiting_count_of(caller) * callers > self.settings.queue;
        if is_over_share {
            RefusalReason::CallerOverShare
        } else {
            RefusalReason::QueueFull
        }
    }

    fn refusal(&self, reason: RefusalReason, wait: Duration) -> Refusal {
        Refusal::transient(reason, wait.max(self.settings.min_retry_after))
    }

    fn waiting_count_of(&self, caller: &CallerKey) -> usize {
        self.waiting_by_caller.get(caller).copied().unwrap_or(0)
    }

    fn queues(&self) -> impl Iterator<Item = (RequestClass, &CallerKey, &VecDeque<Waiting>)> {
        self.waiting.iter().flat_map(|(class, callers)| {
            callers
                .iter()
                .map(|(caller, queue)| (*class, caller, queue))
        })
    }

    fn retain_waiting(&mut self, mut is_kept: impl FnMut(&Waiting) -> bool) {
        for callers in self.waiting.values_mut() {
            for queue in callers.values_mut() {
                queue.retain(&mut is_kept);
            }
            callers.retain(|_, queue| !queue.is_empty());
        }
        self.waiting.retain(|_, callers| !callers.is_empty());
        let mut counts = BTreeMap::new();
        for (_, caller, queue) in self.queues() {
            *counts.entry(caller.clone()).or_default() += queue.len();
        }
        self.waiting_count = counts.values().sum();
        self.waiting_by_caller = counts;
    }
}

impl OfferResult {
    fn of(decision: Result<Admitted, Refusal>) -> Self {
        Self {
            decision,
            displaced: None,
            expires_at: None,
        }
    }
}
