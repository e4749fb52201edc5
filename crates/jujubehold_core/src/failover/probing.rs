//! When each instance is probed, and what the answers show.

use crate::failover::Failover;
use crate::failover_action::FailoverAction;
use crate::ids::{InstanceId, Monotonic};
use crate::instance_status::InstanceStatus;

impl Failover {
    /// When the next tick is due at the latest.
    pub fn next_wakeup(&self) -> Monotonic {
        let now = self.last_event_at.unwrap_or_default();
        if !self.is_watching() {
            return now + self.settings.suspect_after / 2;
        }
        let probe_due = self
            .config
            .instances
            .keys()
            .map(|instance| self.probe_due(now, instance))
            .min();
        let attempt_due = self.attempt_due();
        // A suspicion ripens between probes.
        let ripens = if self.is_restless(now) {
            now + self.settings.probe_interval / 4
        } else {
            now + self.settings.suspect_after / 2
        };
        let doubt_due = self.doubt_due().filter(|due| *due > now);
        let due = [probe_due, attempt_due, doubt_due, Some(ripens)];
        due.into_iter().flatten().min().unwrap_or(ripens).max(now)
    }

    pub(super) fn on_probed(
        &mut self,
        now: Monotonic,
        instance: &InstanceId,
        sent_at: Monotonic,
        status: Option<InstanceStatus>,
        actions: &mut Vec<FailoverAction>,
    ) {
        let is_primary = self.view.primary.as_ref() == Some(instance);
        let Some(status) = status else {
            // While a question is under way no other is sent, so what was due meanwhile is due now.
            self.probed_at.insert(instance.clone(), sent_at);
            if is_primary || self.view.primary.is_none() {
                self.count_failure(now, sent_at);
            }
            return;
        };
        self.note_promoted(now, &status, actions);
        self.note_growth(&status);
        self.observe(now, sent_at, status.clone());
        let is_serving = self.view.primary.as_ref() == Some(instance)
            && status.is_primary_of(self.view.term)
            && !self.is_term_over();
        if is_serving {
            self.on_alive(now, sent_at);
        } else if is_primary || self.is_leaderless(now) {
            // It answers, but no write can be acknowledged: it is fenced, or a majority is, or it
            // came back as a replica.
            self.count_failure(now, sent_at);
        }
        self.follow(now, &status, actions);
    }

    fn count_failure(&mut self, now: Monotonic, sent_at: Monotonic) {
        self.suspicion.count_failure(sent_at);
        self.alert(now);
    }

    fn on_alive(&mut self, now: Monotonic, sent_at: Monotonic) {
        self.suspicion.prove_alive(sent_at);
        self.calm(sent_at);
        if let (Some(promoted_at), Some(phases)) = (self.promoted_at.take(), &mut self.phases) {
            phases.announce = now.saturating_sub(promoted_at);
        }
        self.cancel_false_alarm();
    }

    pub(super) fn probe(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let due: Vec<_> = self
            .config
            .instances
            .keys()
            .filter(|instance| self.probe_due(now, instance) <= now)
            .cloned()
            .collect();
        for instance in due {
            self.probed_at.insert(instance.clone(), now);
            actions.push(FailoverAction::Probe { instance });
        }
    }

    fn probe_due(&self, now: Monotonic, instance: &InstanceId) -> Monotonic {
        let settings = &self.settings;
        let is_primary = self.view.primary.as_ref() == Some(instance);
        let is_urgent =
            self.view.primary.is_none() || self.attempt.is_some() || self.has_doubt(now);
        let interval = if is_primary && self.awaits_open_work(now) {
            settings.change.leaving_probe_interval
        } else if is_urgent {
            settings.probe_interval
        } else if is_primary {
            self.close_since
                .map_or(settings.far_probe_interval, |_| settings.probe_interval)
        } else if self.is_quiet(now) {
            settings.quiet_sample_interval
        } else {
            settings.sample_interval
        };
        let sampled_at = self.view.samples.get(instance).map(|sample| sample.sent_at);
        let last = self.probed_at.get(instance).copied().max(sampled_at);
        last.map_or(now, |at| at + interval)
    }

    // An attempt that ended after its fences leaves a primary that can acknowledge nothing.
    pub(super) fn is_term_over(&self) -> bool {
        self.config.is_majority(|name| {
            let sample = self.view.samples.get(name);
            sample.is_some_and(|sample| !sample.status.proves(self.view.term))
        })
    }

    /// Whether an instance that answers is fenced past the present term, so that it can't follow
    /// the primary.
    pub(super) fn has_stranded(&self, now: Monotonic) -> bool {
        let oldest = now.saturating_sub(self.settings.sample_interval * 2);
        self.view
            .samples
            .values()
            .any(|sample| sample.sent_at >= oldest && sample.status.fence_term > self.view.term)
    }

    /// Whether a majority, of those instances that `counts` takes, answered of late.
    pub(super) fn reaches_majority(
        &self,
        now: Monotonic,
        counts: impl Fn(&InstanceId) -> bool,
    ) -> bool {
        self.config
            .is_majority(|name| counts(name) && self.is_reached(now, name))
    }

    /// Whether the instance answered of late.
    pub(super) fn is_reached(&self, now: Monotonic, instance: &InstanceId) -> bool {
        let oldest = now.saturating_sub(self.settings.suspect_after);
        let sample = self.view.samples.get(instance);
        sample.is_some_and(|sample| sample.sent_at >= oldest)
    }

    fn follow(
        &mut self,
        now: Monotonic,
        status: &InstanceStatus,
        actions: &mut Vec<FailoverAction>,
    ) {
        let Some(primary) = self.view.primary.clone() else {
            return;
        };
        let is_in_place = status.instance == primary || status.term >= self.view.term;
        let is_fenced_past = status.fence_term > self.view.term;
        if is_in_place || is_fenced_past || self.attempt.is_some() || !self.is_watching() {
            return;
        }
        let sent_at = self.follow_sent_at.get(&status.instance).copied();
        if !self.may_share(now, sent_at) {
            return;
        }
        self.follow_sent_at.insert(status.instance.clone(), now);
        actions.push(FailoverAction::Follow {
            instance: status.instance.clone(),
            primary,
            term: self.view.term,
        });
    }
}
