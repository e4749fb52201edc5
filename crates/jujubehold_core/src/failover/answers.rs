//! Handling of the answers to an attempt's actions.

use crate::failover::Failover;
use crate::failover::attempt::Step;
use crate::failover_action::FailoverAction;
use crate::failover_event::RecordOutcome;
use crate::ids::{InstanceId, Monotonic, Nonce, Term};
use crate::instance_status::InstanceStatus;

impl Failover {
    /// Cancels an attempt that has fenced nothing yet, because the primary is alive.
    pub(super) fn cancel_unfenced_attempt(&mut self) {
        let is_unfenced = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.step == Step::Record && attempt.target.is_none());
        if is_unfenced {
            self.attempt = None;
        }
    }

    pub(super) fn on_recorded(
        &mut self,
        now: Monotonic,
        term: Term,
        outcome: &RecordOutcome,
        actions: &mut Vec<FailoverAction>,
    ) {
        if let RecordOutcome::Lost {
            term: recorded_term,
        } = outcome
        {
            self.highest_term = self.highest_term.max(*recorded_term);
        }
        let Some(attempt) = self.attempt.as_ref().filter(|own| own.term == term) else {
            return;
        };
        let step = attempt.step;
        match (step, outcome) {
            (Step::Record, RecordOutcome::Written | RecordOutcome::Unavailable) => {
                self.enter_fence(now, actions);
            }
            (Step::Record | Step::Fence, RecordOutcome::Lost { .. }) => {
                self.yield_to_other_attempt(now);
            }
            // A fenced majority owns the term, whatever the record says.
            (Step::Wait | Step::Promote, RecordOutcome::Lost { .. })
            | (
                Step::Fence | Step::Wait | Step::Promote,
                RecordOutcome::Written | RecordOutcome::Unavailable,
            ) => {}
        }
    }

    pub(super) fn on_fenced(
        &mut self,
        now: Monotonic,
        term: Term,
        nonce: Nonce,
        status: InstanceStatus,
        actions: &mut Vec<FailoverAction>,
    ) {
        let is_member = self.config.instances.contains_key(&status.instance);
        let Some(attempt) = self
            .attempt
            .as_mut()
            .filter(|own| is_member && own.term == term && own.nonce == nonce)
        else {
            self.highest_term = self.highest_term.max(status.fence_term).max(status.term);
            return;
        };
        if attempt.is_granted(&status) {
            attempt.grant(now, status, &self.config);
            self.advance_attempt(now, actions);
        } else if attempt.is_superseded_by(&status) {
            self.highest_term = self.highest_term.max(status.fence_term).max(status.term);
            self.fail_attempt(now);
        }
    }

    pub(super) fn on_caught_up(&mut self, status: InstanceStatus) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if attempt.is_granted(&status) {
            attempt.granted.insert(status.instance.clone(), status);
        }
    }

    pub(super) fn on_promoted(
        &mut self,
        now: Monotonic,
        instance: &InstanceId,
        term: Term,
        status: Option<InstanceStatus>,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(status) = status else {
            let instance = instance.clone();
            actions.push(FailoverAction::Probe { instance });
            return;
        };
        let Some(attempt) = self.attempt.as_ref().filter(|own| own.term == term) else {
            return;
        };
        if attempt.is_superseded_by(&status) {
            self.highest_term = self.highest_term.max(status.fence_term).max(status.term);
            self.fail_attempt(now);
            return;
        }
        self.note_promoted(now, &status, actions);
    }

    /// Ends the attempt if the status shows that its instance was promoted.
    pub(super) fn note_promoted(
        &mut self,
        now: Monotonic,
        status: &InstanceStatus,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if !(attempt.is_granted(status) && status.is_primary_of(attempt.term)) {
            return;
        }
        let Some(mut attempt) = self.attempt.take() else {
            return;
        };
        let promote_sent_at = attempt.step_started_at;
        attempt.enter_step(Step::Promote, now);
        self.phases = Some(attempt.phases);
        self.promoted_at = Some(now);
        let had_primary = self.view.primary.is_some();
        self.view.observe(promote_sent_at, status.clone());
        self.on_new_primary(now, had_primary);
        self.announced_at = Some(now);
        let (term, primary) = (self.view.term, status.instance.clone());
        let followers: Vec<_> = self
            .config
            .instances
            .keys()
            .filter(|instance| **instance != primary)
            .cloned()
            .collect();
        for instance in followers {
            self.follow_sent_at.insert(instance.clone(), now);
            let primary = primary.clone();
            actions.push(FailoverAction::Follow {
                instance,
                primary,
                term,
            });
        }
        actions.push(FailoverAction::Announce { term, primary });
    }

    pub(super) fn fail_attempt(&mut self, now: Monotonic) {
        let Some(attempt) = self.attempt.take() else {
            return;
        };
        let delay = self
            .settings
            .backoff
            .delay(self.failed_attempts, attempt.nonce);
        self.failed_attempts = self.failed_attempts.saturating_add(1);
        self.hold_until = self.hold_until.max(now + delay);
    }
}
