//! The progress of an attempt through its steps.

use crate::failover::Failover;
use crate::failover::attempt::{Attempt, Choice, Step};
use crate::failover_action::FailoverAction;
use crate::ids::Monotonic;

impl Failover {
    pub(super) fn enter_fence(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        if let Some(attempt) = &mut self.attempt {
            attempt.enter_step(Step::Fence, now);
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

    pub(super) fn attempt_due(&self) -> Option<Monotonic> {
        let attempt = self.attempt.as_ref()?;
        let resend = attempt.sent_at + self.settings.resend_interval;
        let step_end = match attempt.step {
            Step::Record => attempt.step_started_at + self.settings.record_timeout,
            Step::Fence => attempt.step_started_at + self.settings.fence_timeout,
            Step::Wait => self.wait_end(attempt),
            Step::Promote => resend,
        };
        Some(resend.min(step_end))
    }

    fn wait_end(&self, attempt: &Attempt) -> Monotonic {
        let majority_at = attempt.majority_at.unwrap_or(attempt.step_started_at);
        majority_at + self.settings.authority.promotion_wait()
    }

    pub(super) fn advance_attempt(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let Some(attempt) = &self.attempt else {
            return;
        };
        if now.saturating_sub(attempt.started_at) >= self.settings.attempt_timeout {
            self.fail_attempt(now);
            return;
        }
        let (step, step_started_at) = (attempt.step, attempt.step_started_at);
        let step_age = now.saturating_sub(step_started_at);
        match step {
            Step::Record => {
                if step_age >= self.settings.record_timeout {
                    self.enter_fence(now, actions);
                }
            }
            Step::Fence => self.advance_fence(now, step_age, actions),
            Step::Wait => self.advance_wait(now, step_age, actions),
            Step::Promote => {
                // The instance became unreachable after its fence. It may still be promoted late,
                // in a term that the next attempt's fences supersede.
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
        let has_required_fences = attempt.target.is_none()
            || attempt.has_planned_change_fences()
            || step_age >= self.settings.fence_timeout;
        if attempt.majority_at.is_none() || !has_required_fences {
            return;
        }
        attempt.choice = attempt.choose(&self.config);
        attempt.enter_step(Step::Wait, now);
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
        update_choice_after_catch_up(attempt, is_late);
        let is_caught_up = attempt
            .choice
            .as_ref()
            .is_some_and(|choice| choice.catch_up.is_none());
        let wait = self.settings.authority.promotion_wait();
        let have_windows_expired = attempt.majority_at.is_some_and(|at| now >= at + wait);
        if is_caught_up && have_windows_expired {
            attempt.enter_step(Step::Promote, now);
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

// Clears the catch-up when it is done; if it takes too long, chooses the more advanced instance.
fn update_choice_after_catch_up(attempt: &mut Attempt, is_late: bool) {
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
