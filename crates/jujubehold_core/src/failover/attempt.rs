//! One host's attempt to replace a primary.

use std::collections::BTreeMap;

use crate::failover::phases::Phases;
use crate::ids::{InstanceId, Monotonic, Nonce, Position, Term};
use crate::instance_status::InstanceStatus;
use crate::service_config::{InstanceState, ServiceConfig};
use crate::value_type;

crate::key_type! {
    /// The current step of an attempt.
    pub(super) enum Step {
        /// Waiting for the platform's key-value service to record the attempt.
        Record,
        /// Fencing the instances.
        Fence,
        /// Waiting for the old term's windows to expire and for the new primary to catch up.
        Wait,
        /// Promoting the new primary.
        Promote,
    }
}

value_type! {
    /// An attempt, with its term and its progress.
    pub(super) struct Attempt {
        pub(super) term: Term,
        pub(super) nonce: Nonce,
        /// The instance to promote in a planned change; `None` for a failover.
        pub(super) target: Option<InstanceId>,
        /// The primary to replace.
        pub(super) old_primary: Option<InstanceId>,
        pub(super) step: Step,
        pub(super) started_at: Monotonic,
        pub(super) step_started_at: Monotonic,
        /// When the requests of the current step were last sent.
        pub(super) sent_at: Monotonic,
        /// The instances that granted the fence of this term and nonce.
        pub(super) granted: BTreeMap<InstanceId, InstanceStatus>,
        /// When this host learned that a majority was fenced.
        pub(super) majority_at: Option<Monotonic>,
        pub(super) choice: Option<Choice>,
        pub(super) phases: Phases,
    }

    /// The instance to promote.
    pub(super) struct Choice {
        pub(super) instance: InstanceId,
        /// The instance with the most advanced log and the log end to fetch from it; `None` if the
        /// chosen instance is missing nothing.
        pub(super) catch_up: Option<CatchUpFrom>,
    }

    /// The source from which a chosen instance fetches its missing log entries.
    pub(super) struct CatchUpFrom {
        pub(super) instance: InstanceId,
        pub(super) log_end: (Term, Position),
    }
}

impl Attempt {
    pub(super) fn enter_step(&mut self, step: Step, now: Monotonic) {
        let duration = now.saturating_sub(self.step_started_at);
        match self.step {
            Step::Record => self.phases.agree = duration,
            Step::Fence => self.phases.fence = duration,
            Step::Wait => self.phases.wait = duration,
            Step::Promote => self.phases.promote = duration,
        }
        self.step = step;
        self.step_started_at = now;
        self.sent_at = now;
    }

    /// Records the status of an instance that granted this attempt's fence.
    pub(super) fn grant(&mut self, now: Monotonic, status: InstanceStatus, config: &ServiceConfig) {
        self.granted.insert(status.instance.clone(), status);
        if config.is_majority(|name| self.granted.contains_key(name)) {
            self.majority_at.get_or_insert(now);
        }
    }

    /// Returns whether the status shows a fence of this attempt.
    pub(super) fn is_granted(&self, status: &InstanceStatus) -> bool {
        status.fence_term == self.term && status.fence_nonce == self.nonce
    }

    /// Returns whether the status shows that another attempt supersedes this one.
    pub(super) fn is_superseded_by(&self, status: &InstanceStatus) -> bool {
        let is_fenced_above = status.fence_term > self.term
            || (status.fence_term == self.term && status.fence_nonce != self.nonce);
        is_fenced_above || (status.term >= self.term && !self.is_granted(status))
    }

    /// Returns whether the instances that a planned change needs are fenced.
    pub(super) fn has_planned_change_fences(&self) -> bool {
        let is_fenced = |instance: &Option<InstanceId>| {
            instance
                .as_ref()
                .is_none_or(|instance| self.granted.contains_key(instance))
        };
        is_fenced(&self.target) && is_fenced(&self.old_primary)
    }

    /// Chooses among the fenced instances.
    ///
    /// The promoted instance must have the log of the most advanced one, since only that log is
    /// certain to hold every acknowledged write. The old primary is promoted again only if no other
    /// instance can be, because it is the one that other hosts could not reach.
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
        let is_target = self.target.as_ref() == Some(instance);
        let is_active = config
            .instances
            .get(instance)
            .is_some_and(|config| config.state == InstanceState::Active);
        let is_not_old_primary = self.old_primary.as_ref() != Some(instance);
        (is_target, is_active, is_not_old_primary)
    }
}
