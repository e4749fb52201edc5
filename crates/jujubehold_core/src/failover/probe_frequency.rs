//! How often a watcher probes its group.
//!
//! In a quiet group, only the first watcher probes the primary frequently. When it doubts that the
//! primary is alive, it tells the others, and they probe the primary themselves. See
//! docs/notes/liveness.md.

use crate::failover::Failover;
use crate::failover_action::FailoverAction;
use crate::ids::Monotonic;

impl Failover {
    /// Records that this host's traffic uses the group, which then needs fresh samples.
    pub fn note_traffic(&mut self, now: Monotonic) {
        self.traffic_at = Some(now);
    }

    /// Decides whether this host probes the primary frequently.
    pub(super) fn update_probe_frequency(&mut self, now: Monotonic) {
        let is_first = self.rank(|_| true) == 0;
        if !is_first && self.is_quiet(now) {
            self.frequent_probes_since = None;
        } else {
            self.frequent_probes_since.get_or_insert(now);
        }
    }

    /// Makes this host probe frequently, because it or another host doubts that the primary is
    /// alive.
    pub(super) fn note_doubt(&mut self, now: Monotonic) {
        if self.frequent_probes_since.is_none() {
            self.doubted_at = Some(now);
        }
    }

    /// Clears a doubt that is no newer than a proof of life.
    pub(super) fn clear_doubt(&mut self, proved_at: Monotonic) {
        self.doubted_at = self.doubted_at.filter(|at| *at > proved_at);
    }

    /// Returns whether the group is idle and stable, so that this host needs few samples.
    pub(super) fn is_quiet(&self, now: Monotonic) -> bool {
        let is_in_use = self
            .traffic_at
            .is_some_and(|at| now.saturating_sub(at) < self.settings.traffic_lifetime);
        !is_in_use && self.is_primary_trusted() && self.is_stable()
    }

    /// Returns whether this host itself suspects the primary.
    ///
    /// Old samples are no evidence of a failure: only the time since this host began to probe
    /// frequently counts.
    pub(super) fn suspects_primary(&self, now: Monotonic) -> bool {
        let settings = &self.settings;
        let required_duration = settings
            .suspect_after
            .saturating_sub(settings.probe_interval);
        let has_probed_long_enough = self
            .frequent_probes_since
            .is_some_and(|since| now.saturating_sub(since) >= required_duration);
        has_probed_long_enough && self.suspicion.is_suspected(settings, now)
    }

    /// Returns whether the primary is late to answer although this host probes it frequently.
    pub(super) fn is_primary_late(&self, now: Monotonic) -> bool {
        self.primary_late_at().is_some_and(|due| due <= now)
    }

    /// Returns when the primary counts as late without another sign of life.
    pub(super) fn primary_late_at(&self) -> Option<Monotonic> {
        let since = self
            .frequent_probes_since?
            .max(self.suspicion.last_sign_of_life());
        // An answer counts as late some time after the next probe was sent.
        let late_after = self.settings.probe_interval * 3 / 2;
        Some(since + late_after.min(self.settings.suspect_after / 2))
    }

    /// Returns whether this host must be ticked frequently in order to miss no deadline.
    pub(super) fn needs_frequent_ticks(&self, now: Monotonic) -> bool {
        self.attempt.is_some()
            || self.view.primary.is_none()
            || !self.is_primary_trusted()
            || self.is_primary_late(now)
            || self.is_primary_leaving()
            || self.planned_change.is_pending()
    }

    /// Tells the other watchers of a doubt that did not come from another host.
    pub(super) fn share_doubt(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let is_own = self.frequent_probes_since.is_some() && self.doubted_at.is_none();
        let is_doubted = self.suspicion.has_failures() || self.is_primary_late(now);
        let is_known = self.view.primary.is_some();
        if is_own && is_doubted && is_known && self.may_share(now, self.doubt_shared_at) {
            self.doubt_shared_at = Some(now);
            let term = self.view.term;
            actions.push(FailoverAction::ShareDoubt { term });
        }
    }

    fn is_primary_trusted(&self) -> bool {
        self.doubted_at.is_none() && !self.suspicion.has_failures()
    }

    // Whether every instance is in the current term and no other primary is wanted.
    fn is_stable(&self) -> bool {
        let Some(primary) = &self.view.primary else {
            return false;
        };
        let is_change_pending = self.attempt.is_some()
            || self.planned_change.is_pending()
            || !self.is_active(primary)
            || self
                .config
                .preferred_primary
                .as_ref()
                .is_some_and(|preferred| preferred != primary);
        !is_change_pending
            && self.config.instances.keys().all(|instance| {
                self.view.samples.get(instance).is_some_and(|sample| {
                    sample.status.term == self.view.term
                        && sample.status.confirms_term(self.view.term)
                })
            })
    }
}
