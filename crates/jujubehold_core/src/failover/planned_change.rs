//! Changes of primary that operators request directly or through the configuration.

use std::time::Duration;

use crate::failover::Failover;
use crate::failover::leaving_primary::LeavingPrimary;
use crate::ids::{InstanceId, Monotonic};
use crate::service_config::InstanceState;
use crate::value_type;

value_type! {
    /// A change of primary that an operator requested or the configuration asks for.
    #[derive(Default)]
    pub(super) struct PlannedChange {
        request: Option<OperatorRequest>,
        // The instance that the configuration asks for; `None` if it asks for no change.
        configured: Option<InstanceId>,
        configured_since: Monotonic,
        // Since when an instance has been fenced above the current term.
        stranded_since: Option<Monotonic>,
        changed_at: Option<Monotonic>,
        leaving: LeavingPrimary,
    }

    struct OperatorRequest {
        instance: InstanceId,
        requested_at: Monotonic,
    }
}

impl PlannedChange {
    pub(super) fn request(&mut self, now: Monotonic, instance: InstanceId) {
        let requested_at = now;
        self.request = Some(OperatorRequest {
            instance,
            requested_at,
        });
    }

    /// Records that the primary changed, so that the next change keeps its minimum interval.
    pub(super) fn note_primary_change(&mut self, now: Monotonic) {
        self.changed_at = Some(now);
        self.leaving.clear();
    }

    /// Returns whether a change is wanted, or may be soon.
    pub(super) fn is_pending(&self) -> bool {
        self.request.is_some() || self.configured.is_some() || self.stranded_since.is_some()
    }

    fn has_settled(&self, now: Monotonic, min_interval: Duration, settle: Duration) -> bool {
        let has_min_interval_passed = self
            .changed_at
            .is_none_or(|at| now.saturating_sub(at) >= min_interval);
        has_min_interval_passed && now.saturating_sub(self.configured_since) >= settle
    }
}

impl Failover {
    /// Returns the instance to promote now in a planned change; `None` if no change is due.
    pub(super) fn due_change(&mut self, now: Monotonic) -> Option<InstanceId> {
        self.drop_finished_request(now);
        if let Some(request) = &self.planned_change.request {
            return Some(request.instance.clone());
        }
        self.observe_leaving(now);
        let configured = self.configured_change(now);
        if configured != self.planned_change.configured {
            self.planned_change.configured = configured;
            self.planned_change.configured_since = now;
        }
        if !self.has_stranded_instance(now) {
            self.planned_change.stranded_since = None;
        } else if self.planned_change.stranded_since.is_none() {
            self.planned_change.stranded_since = Some(now);
        }
        let change = &self.settings.change;
        let rank = u32::try_from(self.rank(|_| true)).unwrap_or(u32::MAX);
        // The first watcher acts; the others act only if it does not.
        let settle = change.settle.saturating_mul(rank.saturating_add(1));
        // An instance that an unfinished attempt left fenced can follow again once the same primary
        // takes a new term.
        let stranded_limit = change.stranded_after + change.settle.saturating_mul(rank);
        let is_stranded = self
            .planned_change
            .stranded_since
            .is_some_and(|since| now.saturating_sub(since) >= stranded_limit);
        if is_stranded {
            self.planned_change.stranded_since = None;
            return self.view.primary.clone();
        }
        let has_settled = if self.is_primary_leaving() {
            // New writes are already refused, so the change waits only for open transactions.
            let settle = change.leaving_settle.saturating_mul(rank.saturating_add(1));
            self.planned_change.has_settled(now, Duration::ZERO, settle)
                && self.planned_change.leaving.may_be_fenced(now, change, rank)
        } else {
            self.planned_change
                .has_settled(now, change.min_interval, settle)
        };
        self.planned_change
            .configured
            .clone()
            .filter(|_| has_settled)
    }

    fn observe_leaving(&mut self, now: Monotonic) {
        if !self.is_primary_leaving() {
            self.planned_change.leaving.clear();
            return;
        }
        let primary = self.view.primary.as_ref();
        let sample = primary.and_then(|primary| self.view.samples.get(primary));
        self.planned_change.leaving.observe(now, sample);
    }

    pub(super) fn is_primary_leaving(&self) -> bool {
        let primary = self.view.primary.as_ref();
        primary.is_some_and(|primary| !self.is_active(primary))
    }

    /// Returns whether the primary is probed at a short interval because it is leaving and may have
    /// open transactions.
    pub(super) fn awaits_open_transactions(&self, now: Monotonic) -> bool {
        self.planned_change
            .leaving
            .is_waiting(now, &self.settings.change)
    }

    fn drop_finished_request(&mut self, now: Monotonic) {
        let lifetime = self.settings.change.request_lifetime;
        let Some(request) = &self.planned_change.request else {
            return;
        };
        let is_expired = now.saturating_sub(request.requested_at) > lifetime;
        let is_done = self.view.primary.as_ref() == Some(&request.instance);
        if is_expired || is_done || !self.is_active(&request.instance) {
            self.planned_change.request = None;
        }
    }

    // The preferred instance, or any other one if the primary is leaving.
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
        // Keep an earlier choice so that it can settle.
        let chosen = self.planned_change.configured.as_ref();
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

    // Whether the instance answers and its lag behind the primary is small enough.
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
