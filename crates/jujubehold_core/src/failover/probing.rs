//! Scheduling of probes, and the evaluation of their answers.

use crate::failover::Failover;
use crate::failover_action::FailoverAction;
use crate::ids::{InstanceId, Monotonic};
use crate::instance_status::InstanceStatus;

impl Failover {
    /// Returns the time by which the next tick is due.
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
        // A suspicion can become due between probes.
        let wakeup_due = if self.needs_frequent_ticks(now) {
            now + self.settings.probe_interval / 4
        } else {
            now + self.settings.suspect_after / 2
        };
        let primary_late_at = self.primary_late_at().filter(|due| *due > now);
        let due = [probe_due, attempt_due, primary_late_at, Some(wakeup_due)];
        due.into_iter()
            .flatten()
            .min()
            .unwrap_or(wakeup_due)
            .max(now)
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
            // No other probe is sent while one is in flight, so a probe that became due meanwhile
            // is due now.
            self.probed_at.insert(instance.clone(), sent_at);
            if is_primary || self.view.primary.is_none() {
                self.count_failure(now, sent_at);
            }
            return;
        };
        self.note_promoted(now, &status, actions);
        self.note_log_growth(&status);
        self.observe(now, sent_at, status.clone());
        let is_serving = self.view.primary.as_ref() == Some(instance)
            && status.is_primary_of(self.view.term)
            && !self.is_term_over();
        if is_serving {
            self.on_primary_alive(now, sent_at);
        } else if is_primary || self.is_leaderless(now) {
            // The instance answers, but no write can be acknowledged: it or a majority is fenced,
            // or it came back as a replica.
            self.count_failure(now, sent_at);
        }
        self.follow(now, &status, actions);
    }

    fn count_failure(&mut self, now: Monotonic, sent_at: Monotonic) {
        self.suspicion.count_failure(sent_at);
        self.note_doubt(now);
    }

    fn on_primary_alive(&mut self, now: Monotonic, sent_at: Monotonic) {
        self.suspicion.note_proof_of_life(sent_at);
        self.clear_doubt(sent_at);
        if let (Some(promoted_at), Some(phases)) = (self.promoted_at.take(), &mut self.phases) {
            phases.announce = now.saturating_sub(promoted_at);
        }
        self.cancel_unfenced_attempt();
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
            self.view.primary.is_none() || self.attempt.is_some() || self.is_primary_late(now);
        let interval = if is_primary && self.awaits_open_transactions(now) {
            settings.change.leaving_probe_interval
        } else if is_urgent {
            settings.probe_interval
        } else if is_primary {
            self.frequent_probes_since
                .map_or(settings.quiet_probe_interval, |_| settings.probe_interval)
        } else if self.is_quiet(now) {
            settings.quiet_sample_interval
        } else {
            settings.sample_interval
        };
        let sampled_at = self.view.samples.get(instance).map(|sample| sample.sent_at);
        let last = self.probed_at.get(instance).copied().max(sampled_at);
        last.map_or(now, |at| at + interval)
    }

    /// Returns whether a majority knows of a term above the current one, so that the primary cannot
    /// acknowledge any write.
    ///
    /// An attempt that ended after its fences leaves a group in this state.
    pub(super) fn is_term_over(&self) -> bool {
        self.config.is_majority(|name| {
            let sample = self.view.samples.get(name);
            sample.is_some_and(|sample| !sample.status.confirms_term(self.view.term))
        })
    }

    /// Returns whether a reachable instance is fenced above the current term, so that it cannot
    /// follow the primary.
    pub(super) fn has_stranded_instance(&self, now: Monotonic) -> bool {
        let oldest = now.saturating_sub(self.settings.sample_interval * 2);
        self.view
            .samples
            .values()
            .any(|sample| sample.sent_at >= oldest && sample.status.fence_term > self.view.term)
    }

    /// Returns whether a majority, counting only instances accepted by `counts`, answered recently.
    pub(super) fn reaches_majority(
        &self,
        now: Monotonic,
        counts: impl Fn(&InstanceId) -> bool,
    ) -> bool {
        self.config
            .is_majority(|name| counts(name) && self.is_reachable(now, name))
    }

    /// Returns whether the instance answered recently.
    pub(super) fn is_reachable(&self, now: Monotonic, instance: &InstanceId) -> bool {
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
        let is_up_to_date = status.instance == primary || status.term >= self.view.term;
        let is_fenced_above = status.fence_term > self.view.term;
        if is_up_to_date || is_fenced_above || self.attempt.is_some() || !self.is_watching() {
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
