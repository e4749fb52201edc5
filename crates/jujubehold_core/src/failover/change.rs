//! When the operators want another primary.

use std::time::Duration;

use crate::failover::Failover;
use crate::failover::leaving::LeavingPrimary;
use crate::ids::{InstanceId, Monotonic};
use crate::service_config::InstanceState;
use crate::value_type;

value_type! {
    /// An order, or a wish that the configuration states.
    #[derive(Default)]
    pub(super) struct ChangeWish {
        order: Option<Order>,
        configured: Option<InstanceId>,
        configured_since: Monotonic,
        stranded_since: Option<Monotonic>,
        changed_at: Option<Monotonic>,
        leaving: LeavingPrimary,
    }

    struct Order {
        instance: InstanceId,
        given_at: Monotonic,
    }
}

impl ChangeWish {
    pub(super) fn order(&mut self, now: Monotonic, instance: InstanceId) {
        let given_at = now;
        self.order = Some(Order { instance, given_at });
    }

    /// Notes that the primary changed, so that no change follows too soon.
    pub(super) fn note_change(&mut self, now: Monotonic) {
        self.changed_at = Some(now);
        self.leaving.clear();
    }

    /// Whether a change is wanted or may soon be.
    pub(super) fn is_pending(&self) -> bool {
        self.order.is_some() || self.configured.is_some() || self.stranded_since.is_some()
    }

    fn has_settled(&self, now: Monotonic, min_interval: Duration, settle: Duration) -> bool {
        let is_rested = self
            .changed_at
            .is_none_or(|at| now.saturating_sub(at) >= min_interval);
        is_rested && now.saturating_sub(self.configured_since) >= settle
    }
}

impl Failover {
    /// The instance that is to become primary now by order; `None` when there is nothing to do.
    pub(super) fn wanted_change(&mut self, now: Monotonic) -> Option<InstanceId> {
        self.drop_spent_order(now);
        if let Some(order) = &self.wish.order {
            return Some(order.instance.clone());
        }
        self.observe_leaving(now);
        let configured = self.configured_change(now);
        if configured != self.wish.configured {
            self.wish.configured = configured;
            self.wish.configured_since = now;
        }
        if !self.has_stranded(now) {
            self.wish.stranded_since = None;
        } else if self.wish.stranded_since.is_none() {
            self.wish.stranded_since = Some(now);
        }
        let change = &self.settings.change;
        let rank = u32::try_from(self.rank(|_| true)).unwrap_or(u32::MAX);
        // The first of the watchers acts; the others do only when it does not.
        let settle = change.settle.saturating_mul(rank.saturating_add(1));
        // An instance that an ended attempt left fenced gets back in by a new term of the same
        // primary.
        let stranded_limit = change.stranded_after + change.settle.saturating_mul(rank);
        let is_stranded = self
            .wish
            .stranded_since
            .is_some_and(|since| now.saturating_sub(since) >= stranded_limit);
        if is_stranded {
            self.wish.stranded_since = None;
            return self.view.primary.clone();
        }
        let has_settled = if self.is_primary_leaving() {
            // New writes are refused already, so the change waits only for what runs.
            let settle = change.leaving_settle.saturating_mul(rank.saturating_add(1));
            self.wish.has_settled(now, Duration::ZERO, settle)
                && self.wish.leaving.may_be_fenced(now, change, rank)
        } else {
            self.wish.has_settled(now, change.min_interval, settle)
        };
        self.wish.configured.clone().filter(|_| has_settled)
    }

    fn observe_leaving(&mut self, now: Monotonic) {
        if !self.is_primary_leaving() {
            self.wish.leaving.clear();
            return;
        }
        let primary = self.view.primary.as_ref();
        let sample = primary.and_then(|primary| self.view.samples.get(primary));
        self.wish.leaving.observe(now, sample);
    }

    pub(super) fn is_primary_leaving(&self) -> bool {
        let primary = self.view.primary.as_ref();
        primary.is_some_and(|primary| !self.is_active(primary))
    }

    /// Whether the primary is probed closely, because it is leaving and work is open on it.
    pub(super) fn awaits_open_work(&self, now: Monotonic) -> bool {
        self.wish.leaving.is_waiting(now, &self.settings.change)
    }

    fn drop_spent_order(&mut self, now: Monotonic) {
        let lifetime = self.settings.change.order_lifetime;
        let Some(order) = &self.wish.order else {
            return;
        };
        let is_overdue = now.saturating_sub(order.given_at) > lifetime;
        let is_done = self.view.primary.as_ref() == Some(&order.instance);
        if is_overdue || is_done || !self.is_active(&order.instance) {
            self.wish.order = None;
        }
    }

    // The preferred instance, or any other when the primary is leaving.
    fn configured_change(&self, now: Monotonic) -> Option<InstanceId> {
        let primary = self.view.primary.as_ref()?;
        let preferred = self.config.preferred_primary.as_ref();
        if let Some(preferred) = preferred
            && preferred != primary
            && self.is_ready(now, preferred)
        {
            return Some(preferred.clone());
        }
        if self.is_active(primary) {
            return None;
        }
        // A choice once made stays, so that it can settle.
        let chosen = self.wish.configured.as_ref();
        if let Some(chosen) = chosen.filter(|chosen| *chosen != primary)
            && self.is_ready(now, chosen)
        {
            return Some(chosen.clone());
        }
        self.config
            .instances
            .keys()
            .filter(|instance| *instance != primary && self.is_ready(now, instance))
            .max_by_key(|instance| {
                let sample = self.view.samples.get(*instance);
                sample.map(|sample| sample.status.log_end())
            })
            .cloned()
    }

    pub(super) fn is_active(&self, instance: &InstanceId) -> bool {
        self.config
            .instances
            .get(instance)
            .is_some_and(|config| config.state == InstanceState::Active)
    }

    // Whether the instance answers and is close enough behind the primary.
    fn is_ready(&self, now: Monotonic, instance: &InstanceId) -> bool {
        let Some(sample) = self.view.samples.get(instance) else {
            return false;
        };
        let Some((_, position)) = self.view.primary_sample() else {
            return false;
        };
        let is_fresh = now.saturating_sub(sample.sent_at) <= self.settings.sample_interval * 2;
        let lag = position.saturating_sub(sample.status.received);
        self.is_active(instance)
            && is_fresh
            && sample.status.term == self.view.term
            && lag <= self.settings.change.max_lag
    }
}
