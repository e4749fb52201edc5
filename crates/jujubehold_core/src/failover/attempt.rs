//! One host's attempt to replace a primary.

use std::collections::BTreeMap;

use crate::failover::phases::Phases;
use crate::ids::{InstanceId, Monotonic, Nonce, Position, Term};
use crate::instance_status::InstanceStatus;
use crate::service_config::{InstanceState, ServiceConfig};
use crate::value_type;

crate::key_type! {
    /// How far an attempt has come.
    pub(super) enum Step {
        /// The platform's service is asked to record it.
        Record,
        /// The instances are being fenced.
        Fence,
        /// The old term's windows lapse, and the new primary catches up.
        Wait,
        /// The new primary is being promoted.
        Promote,
    }
}

value_type! {
    /// An attempt, its term and what came of it so far.
    pub(super) struct Attempt {
        pub(super) term: Term,
        pub(super) nonce: Nonce,
        /// The instance that an order names; `None` for a failover.
        pub(super) ordered: Option<InstanceId>,
        /// The primary that is to be replaced.
        pub(super) old_primary: Option<InstanceId>,
        pub(super) step: Step,
        pub(super) started_at: Monotonic,
        pub(super) step_at: Monotonic,
        pub(super) sent_at: Monotonic,
        /// The instances that are fenced at this term and nonce.
        pub(super) granted: BTreeMap<InstanceId, InstanceStatus>,
        /// When a majority was known to be fenced.
        pub(super) majority_at: Option<Monotonic>,
        pub(super) choice: Option<Choice>,
        pub(super) phases: Phases,
    }

    /// The instance that is to be promoted.
    pub(super) struct Choice {
        pub(super) instance: InstanceId,
        /// The instance ahead of it, and the position to fetch; `None` when it lacks nothing.
        pub(super) catch_up: Option<CatchUpFrom>,
    }

    /// Where a chosen instance gets what it lacks.
    pub(super) struct CatchUpFrom {
        pub(super) instance: InstanceId,
        pub(super) log_end: (Term, Position),
    }
}

impl Attempt {
    pub(super) fn enter(&mut self, step: Step, now: Monotonic) {
        let duration = now.saturating_sub(self.step_at);
        match self.step {
            Step::Record => self.phases.agree = duration,
            Step::Fence => self.phases.fence = duration,
            Step::Wait => self.phases.wait = duration,
            Step::Promote => self.phases.promote = duration,
        }
        self.step = step;
        self.step_at = now;
        self.sent_at = now;
    }

    /// Takes in the status of an instance that is fenced for this attempt.
    pub(super) fn grant(&mut self, now: Monotonic, status: InstanceStatus, config: &ServiceConfig) {
        self.granted.insert(status.instance.clone(), status);
        if config.is_majority(|name| self.granted.contains_key(name)) {
            self.majority_at.get_or_insert(now);
        }
    }

    /// Whether the status shows a fence of this attempt.
    pub(super) fn is_granted(&self, status: &InstanceStatus) -> bool {
        status.fence_term == self.term && status.fence_nonce == self.nonce
    }

    /// Whether the status shows that another attempt has come past this one.
    pub(super) fn is_passed_by(&self, status: &InstanceStatus) -> bool {
        let is_fenced_past = status.fence_term > self.term
            || (status.fence_term == self.term && status.fence_nonce != self.nonce);
        is_fenced_past || (status.term >= self.term && !self.is_granted(status))
    }

    /// Whether the instances that an ordered change needs are fenced.
    pub(super) fn has_ordered_fences(&self) -> bool {
        let is_fenced = |instance: &Option<InstanceId>| {
            instance
                .as_ref()
                .is_none_or(|instance| self.granted.contains_key(instance))
        };
        is_fenced(&self.ordered) && is_fenced(&self.old_primary)
    }

    /// Chooses among the fenced instances.
    ///
    /// Whatever is promoted must have the log of the most advanced of them, since only that one
    /// surely holds every acknowledged write. The old primary is promoted again only when no
    /// other can be, for it is the one that others could not reach.
    pub(super) fn choose(&self, config: &ServiceConfig) -> Option<Choice> {
        let ahead = self
            .granted
            .values()
            .max_by_key(|status| (status.log_end(), self.preference(config, status)))?;
        let preferred = self
            .granted
            .values()
            .max_by_key(|status| (self.preference(config, status), status.log_end()))?;
        let catch_up = (preferred.log_end() < ahead.log_end()).then(|| CatchUpFrom {
            instance: ahead.instance.clone(),
            log_end: ahead.log_end(),
        });
        Some(Choice {
            instance: preferred.instance.clone(),
            catch_up,
        })
    }

    fn preference(&self, config: &ServiceConfig, status: &InstanceStatus) -> (bool, bool, bool) {
        let instance = &status.instance;
        let is_ordered = self.ordered.as_ref() == Some(instance);
        let is_active = config
            .instances
            .get(instance)
            .is_some_and(|config| config.state == InstanceState::Active);
        let is_other = self.old_primary.as_ref() != Some(instance);
        (is_ordered, is_active, is_other)
    }
}
