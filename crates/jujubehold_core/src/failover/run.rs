//! The steps of an attempt.

use crate::failover::Failover;
use crate::failover::attempt::{Attempt, Choice, Step};
use crate::failover::phases::Phases;
use crate::failover::suspicion::QuorumRule;
use crate::failover_action::FailoverAction;
use crate::failover_event::RecordOutcome;
use crate::ids::{HostId, InstanceId, Monotonic, Nonce, Term};
use crate::instance_status::InstanceStatus;

impl Failover {
    /// Does what the time asks for.
    pub(super) fn advance(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let lifetime = self.settings.suspicion_lifetime;
        self.suspicion.expire(now, lifetime);
        if !self.is_watching() {
            // An order may be given to any host; it watches the group for as long as it acts.
            self.start_ordered(now, actions);
            self.advance_attempt(now, actions);
            return;
        }
        let is_suspected = self.suspicion.is_suspected(&self.settings, now);
        if is_suspected && self.may_share(now, self.suspicion_shared_at) {
            self.suspicion_shared_at = Some(now);
            let term = self.view.term;
            actions.push(FailoverAction::ShareSuspicion { term });
        }
        if is_suspected {
            self.start_failover(now, actions);
        } else {
            self.start_ordered(now, actions);
        }
        self.advance_attempt(now, actions);
        self.probe(now, actions);
    }

    /// This host's place among the watchers that `counts` takes.
    pub(super) fn rank(&self, counts: impl Fn(&HostId) -> bool) -> usize {
        self.watchers
            .iter()
            .take_while(|watcher| watcher.host != self.host)
            .filter(|watcher| counts(&watcher.host))
            .count()
    }

    fn start_failover(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        if self.attempt.is_some() || now < self.hold_until {
            return;
        }
        // Fencing a minority would take replicas away from a primary that may be serving.
        let majority = self.config.majority();
        if self.reachable(now, |_| true) < majority {
            return;
        }
        let primary = self.view.primary.clone();
        let reached_others = self.reachable(now, |instance| Some(instance) != primary.as_ref());
        let rule = QuorumRule {
            own_host: &self.host,
            own_domain: &self.domain,
            watchers: &self.watchers,
            config: &self.config,
            reaches_majority_without_primary: reached_others >= majority,
        };
        let term = self.view.term;
        let Some(since) = self
            .suspicion
            .quorum_since(now, &self.settings, &rule, term)
        else {
            return;
        };
        let suspecting: Vec<_> = self.suspicion.suspecting(term).collect();
        let rank = u32::try_from(self.rank(|host| suspecting.contains(&host))).unwrap_or(u32::MAX);
        if now < since + self.settings.rank_delay.saturating_mul(rank) {
            return;
        }
        let detect = now.saturating_sub(self.suspicion.last_alive());
        self.start(now, None, detect, actions);
    }

    fn start_ordered(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        if self.attempt.is_some() || now < self.hold_until {
            return;
        }
        if let Some(instance) = self.wanted_change(now) {
            self.start(now, Some(instance), Monotonic::ZERO, actions);
        }
    }

    fn start(
        &mut self,
        now: Monotonic,
        ordered: Option<InstanceId>,
        detect: Monotonic,
        actions: &mut Vec<FailoverAction>,
    ) {
        let term = self.highest_term.max(self.view.term) + 1;
        let nonce = self.next_nonce();
        self.highest_term = term;
        self.attempt = Some(Attempt {
            term,
            nonce,
            ordered,
            old_primary: self.view.primary.clone(),
            step: Step::Record,
            started_at: now,
            step_at: now,
            sent_at: now,
            granted: std::collections::BTreeMap::new(),
            majority_at: None,
            choice: None,
            phases: Phases {
                detect,
                ..Phases::default()
            },
        });
        actions.push(FailoverAction::Record { term, nonce });
    }

    /// Gives up an attempt that has fenced nothing when the primary proves to be alive.
    pub(super) fn cancel_false_alarm(&mut self) {
        let is_false_alarm = self
            .attempt
            .as_ref()
            .is_some_and(|attempt| attempt.step == Step::Record && attempt.ordered.is_none());
        if is_false_alarm {
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
        if let RecordOutcome::Lost { term: stands } = outcome {
            self.highest_term = self.highest_term.max(*stands);
        }
        let Some(attempt) = self.attempt.as_ref().filter(|own| own.term == term) else {
            return;
        };
        let step = attempt.step;
        match (step, outcome) {
            (Step::Record, RecordOutcome::Written | RecordOutcome::Unavailable) => {
                self.enter_fence(now, actions);
            }
            (Step::Record | Step::Fence, RecordOutcome::Lost { .. }) => self.yield_to_other(now),
            // A majority that is fenced owns the term, whatever the record says.
            (Step::Wait | Step::Promote, RecordOutcome::Lost { .. })
            | (
                Step::Fence | Step::Wait | Step::Promote,
                RecordOutcome::Written | RecordOutcome::Unavailable,
            ) => {}
        }
    }

    fn enter_fence(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        if let Some(attempt) = &mut self.attempt {
            attempt.enter(Step::Fence, now);
        }
        self.send_fences(actions);
    }

    fn send_fences(&self, actions: &mut Vec<FailoverAction>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        let missing = self
            .config
            .instances
            .keys()
            .filter(|instance| !attempt.granted.contains_key(*instance));
        actions.extend(missing.map(|instance| FailoverAction::Fence {
            instance: instance.clone(),
            term: attempt.term,
            nonce: attempt.nonce,
        }));
    }

    pub(super) fn on_fenced(
        &mut self,
        now: Monotonic,
        term: Term,
        nonce: Nonce,
        status: InstanceStatus,
        actions: &mut Vec<FailoverAction>,
    ) {
        let majority = self.config.majority();
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
            attempt.grant(now, status, majority);
            self.advance_attempt(now, actions);
        } else if attempt.is_passed_by(&status) {
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
        if attempt.is_passed_by(&status) {
            self.highest_term = self.highest_term.max(status.fence_term).max(status.term);
            self.fail_attempt(now);
            return;
        }
        self.note_promoted(now, &status, actions);
    }

    /// Ends the attempt when the status shows that its instance was promoted.
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
        let promote_sent_at = attempt.step_at;
        attempt.enter(Step::Promote, now);
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

    fn fail_attempt(&mut self, now: Monotonic) {
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

    pub(super) fn attempt_due(&self) -> Option<Monotonic> {
        let attempt = self.attempt.as_ref()?;
        let resend = attempt.sent_at + self.settings.resend_interval;
        let step_end = match attempt.step {
            Step::Record => attempt.step_at + self.settings.record_timeout,
            Step::Fence => attempt.step_at + self.settings.fence_timeout,
            Step::Wait => self.wait_end(attempt),
            Step::Promote => resend,
        };
        Some(resend.min(step_end))
    }

    fn wait_end(&self, attempt: &Attempt) -> Monotonic {
        let majority_at = attempt.majority_at.unwrap_or(attempt.step_at);
        majority_at + self.settings.authority.promotion_wait()
    }

    fn advance_attempt(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if now.saturating_sub(attempt.started_at) >= self.settings.attempt_timeout {
            self.fail_attempt(now);
            return;
        }
        let (step, step_at) = (attempt.step, attempt.step_at);
        let step_age = now.saturating_sub(step_at);
        match step {
            Step::Record => {
                if step_age >= self.settings.record_timeout {
                    self.enter_fence(now, actions);
                }
            }
            Step::Fence => self.advance_fence(now, step_age, actions),
            Step::Wait => self.advance_wait(now, step_age, actions),
            Step::Promote => {
                // The instance was lost after its fence; it may still be promoted late, at a term
                // that the next attempt's fences then outweigh.
                if step_age >= self.settings.promote_timeout {
                    self.fail_attempt(now);
                }
            }
        }
        self.resend(now, actions);
    }

    fn advance_fence(
        &mut self,
        now: Monotonic,
        step_age: Monotonic,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        let is_enough = attempt.ordered.is_none()
            || attempt.has_ordered_fences()
            || step_age >= self.settings.fence_timeout;
        if attempt.majority_at.is_none() || !is_enough {
            return;
        }
        attempt.choice = attempt.choose(&self.config);
        attempt.enter(Step::Wait, now);
        self.send_catch_up(actions);
        self.advance_wait(now, Monotonic::ZERO, actions);
    }

    fn send_catch_up(&self, actions: &mut Vec<FailoverAction>) {
        let choice = self.attempt.as_ref().and_then(|own| own.choice.as_ref());
        let Some(choice) = choice else {
            return;
        };
        if let Some(from) = &choice.catch_up {
            actions.push(FailoverAction::CatchUp {
                instance: choice.instance.clone(),
                from: from.instance.clone(),
                position: from.log_end.1,
            });
        }
    }

    fn advance_wait(
        &mut self,
        now: Monotonic,
        step_age: Monotonic,
        actions: &mut Vec<FailoverAction>,
    ) {
        let is_late = step_age >= self.settings.catch_up_timeout;
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        settle_catch_up(attempt, is_late);
        let is_caught_up = attempt
            .choice
            .as_ref()
            .is_some_and(|choice| choice.catch_up.is_none());
        let wait = self.settings.authority.promotion_wait();
        let has_lapsed = attempt.majority_at.is_some_and(|at| now >= at + wait);
        if is_caught_up && has_lapsed {
            attempt.enter(Step::Promote, now);
            self.send_promotion(actions);
        }
    }

    fn send_promotion(&self, actions: &mut Vec<FailoverAction>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if let Some(choice) = &attempt.choice {
            actions.push(FailoverAction::Promote {
                instance: choice.instance.clone(),
                term: attempt.term,
                nonce: attempt.nonce,
            });
        }
    }

    fn resend(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let interval = self.settings.resend_interval;
        let Some(attempt) = &mut self.attempt else {
            return;
        };
        if now.saturating_sub(attempt.sent_at) < interval {
            return;
        }
        attempt.sent_at = now;
        match attempt.step {
            Step::Record => {}
            Step::Fence => self.send_fences(actions),
            Step::Wait => {
                self.send_fences(actions);
                self.send_catch_up(actions);
            }
            Step::Promote => self.send_promotion(actions),
        }
    }
}

// Drops the catch-up when it is done; when it takes too long, chooses the instance that is ahead.
fn settle_catch_up(attempt: &mut Attempt, is_late: bool) {
    let Some(choice) = &attempt.choice else {
        return;
    };
    let Some(from) = &choice.catch_up else {
        return;
    };
    let is_done = attempt
        .granted
        .get(&choice.instance)
        .is_some_and(|status| status.log_end() >= from.log_end);
    let instance = if is_done {
        choice.instance.clone()
    } else if is_late {
        from.instance.clone()
    } else {
        return;
    };
    attempt.choice = Some(Choice {
        instance,
        catch_up: None,
    });
}
