//! How closely a watcher follows its group.
//!
//! Of a quiet group only the first watcher probes the primary often; it tells the others when it
//! comes to doubt, and they look for themselves. See docs/notes/liveness.md.

use crate::failover::Failover;
use crate::failover_action::FailoverAction;
use crate::ids::Monotonic;

impl Failover {
    /// Notes that this host's traffic uses the group, which needs fresh samples then.
    pub fn note_traffic(&mut self, now: Monotonic) {
        self.traffic_at = Some(now);
    }

    /// Decides anew whether this host follows the primary closely.
    pub(super) fn update_closeness(&mut self, now: Monotonic) {
        let is_first = self.rank(|_| true) == 0;
        if !is_first && self.is_quiet(now) {
            self.close_since = None;
        } else {
            self.close_since.get_or_insert(now);
        }
    }

    /// Has this host look closely, because it or another one came to doubt the primary.
    pub(super) fn alert(&mut self, now: Monotonic) {
        if self.close_since.is_none() {
            self.alerted_at = Some(now);
        }
    }

    /// Drops an alert that a proof of life outdates.
    pub(super) fn calm(&mut self, proved_at: Monotonic) {
        self.alerted_at = self.alerted_at.filter(|at| *at > proved_at);
    }

    /// Whether nothing happens to the group, so that this host can do with few samples.
    pub(super) fn is_quiet(&self, now: Monotonic) -> bool {
        let is_in_use = self
            .traffic_at
            .is_some_and(|at| now.saturating_sub(at) < self.settings.traffic_lifetime);
        !is_in_use && self.is_undoubted() && self.is_in_place()
    }

    /// Whether this host itself suspects the primary.
    ///
    /// Old samples are no sign of a failure: the time counts only since it has looked closely.
    pub(super) fn suspects(&self, now: Monotonic) -> bool {
        let settings = &self.settings;
        let looked_for = settings
            .suspect_after
            .saturating_sub(settings.probe_interval);
        let has_looked = self
            .close_since
            .is_some_and(|since| now.saturating_sub(since) >= looked_for);
        has_looked && self.suspicion.is_suspected(settings, now)
    }

    /// Whether the primary is late, although this host looks closely.
    pub(super) fn has_doubt(&self, now: Monotonic) -> bool {
        self.doubt_due().is_some_and(|due| due <= now)
    }

    /// When this host comes to doubt the primary without another proof of life.
    pub(super) fn doubt_due(&self) -> Option<Monotonic> {
        let since = self.close_since?.max(self.suspicion.last_alive());
        // An answer is late some time after the next question went out.
        let late_after = self.settings.probe_interval * 3 / 2;
        Some(since + late_after.min(self.settings.suspect_after / 2))
    }

    /// Whether this host must look at the group often, to miss no due time.
    pub(super) fn is_restless(&self, now: Monotonic) -> bool {
        self.attempt.is_some()
            || self.view.primary.is_none()
            || !self.is_undoubted()
            || self.has_doubt(now)
            || self.is_primary_leaving()
            || self.wish.is_pending()
    }

    /// Tells the other watchers of a doubt that this host came to by itself.
    pub(super) fn share_doubt(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let is_own = self.close_since.is_some() && self.alerted_at.is_none();
        let is_doubted = self.suspicion.has_failures() || self.has_doubt(now);
        let is_known = self.view.primary.is_some();
        if is_own && is_doubted && is_known && self.may_share(now, self.doubt_shared_at) {
            self.doubt_shared_at = Some(now);
            let term = self.view.term;
            actions.push(FailoverAction::ShareDoubt { term });
        }
    }

    fn is_undoubted(&self) -> bool {
        self.alerted_at.is_none() && !self.suspicion.has_failures()
    }

    // Every instance plays its part in the present term, and no other primary is wanted.
    fn is_in_place(&self) -> bool {
        let Some(primary) = &self.view.primary else {
            return false;
        };
        let has_wish = self.attempt.is_some()
            || self.wish.is_pending()
            || !self.is_active(primary)
            || self
                .config
                .preferred_primary
                .as_ref()
                .is_some_and(|preferred| preferred != primary);
        !has_wish
            && self.config.instances.keys().all(|instance| {
                self.view.samples.get(instance).is_some_and(|sample| {
                    sample.status.term == self.view.term && sample.status.proves(self.view.term)
                })
            })
    }
}
