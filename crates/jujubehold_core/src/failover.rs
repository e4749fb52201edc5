//! Replacement of a group's failed primary.
//!
//! Each watcher of a group runs one [`Failover`]. Several watchers may act at once, and any event
//! or action may be lost, duplicated or delayed. The fences granted by a majority of the instances
//! decide which attempt owns a term, so none of this lets two primaries acknowledge writes. See
//! docs/notes/failover.md.

mod answers;
mod attempt;
mod leaving_primary;
mod phases;
mod planned_change;
mod probe_frequency;
mod probing;
mod settings;
mod start;
mod steps;
mod suspicion;
mod unknown_primary;

use std::collections::BTreeMap;

use crate::failover_action::FailoverAction;
use crate::failover_event::FailoverEvent;
use crate::group_view::GroupView;
use crate::ids::{DomainId, HostId, InstanceId, Monotonic, Nonce, Term};
use crate::instance_status::InstanceStatus;
use crate::ownership::{Watcher, mix, weight};
use crate::service_config::ServiceConfig;

pub use phases::Phases;
pub use settings::{ChangeSettings, FailoverSettings};

use attempt::{Attempt, Step};
use planned_change::PlannedChange;
use suspicion::SuspicionTable;

/// The failover state machine of one group, as run by one of its watchers.
///
/// A group of three instances with six watchers takes about 5 KB, most of it the position samples
/// of [`GroupView`].
#[derive(Debug, Clone)]
pub struct Failover {
    settings: FailoverSettings,
    config: ServiceConfig,
    host: HostId,
    domain: DomainId,
    nonce_seed: u64,
    watchers: Vec<Watcher>,
    view: GroupView,
    suspicion: SuspicionTable,
    attempt: Option<Attempt>,
    failed_attempts: u32,
    attempts_made: u64,
    // The highest term seen in any status, record or suspicion.
    highest_term: Term,
    // No attempt starts before this time: an earlier one failed, or another host's is in progress.
    hold_until: Monotonic,
    planned_change: PlannedChange,
    probed_at: BTreeMap<InstanceId, Monotonic>,
    follow_sent_at: BTreeMap<InstanceId, Monotonic>,
    last_event_at: Option<Monotonic>,
    suspicion_shared_at: Option<Monotonic>,
    liveness_shared_at: Option<Monotonic>,
    doubt_shared_at: Option<Monotonic>,
    // When this host began to probe the primary frequently; see `probe_frequency`.
    frequent_probes_since: Option<Monotonic>,
    doubted_at: Option<Monotonic>,
    traffic_at: Option<Monotonic>,
    announced_at: Option<Monotonic>,
    phases: Option<Phases>,
    promoted_at: Option<Monotonic>,
}

impl Failover {
    /// Creates the failover of a group about which nothing is known yet.
    pub fn new(
        settings: FailoverSettings,
        config: &ServiceConfig,
        host: HostId,
        domain: DomainId,
        nonce_seed: u64,
    ) -> Self {
        Self {
            settings,
            config: config.clone(),
            host,
            domain,
            nonce_seed,
            watchers: Vec::new(),
            view: GroupView::default(),
            suspicion: SuspicionTable::default(),
            attempt: None,
            failed_attempts: 0,
            attempts_made: 0,
            highest_term: 0,
            hold_until: Monotonic::ZERO,
            planned_change: PlannedChange::default(),
            probed_at: BTreeMap::new(),
            follow_sent_at: BTreeMap::new(),
            last_event_at: None,
            suspicion_shared_at: None,
            liveness_shared_at: None,
            doubt_shared_at: None,
            frequent_probes_since: None,
            doubted_at: None,
            traffic_at: None,
            announced_at: None,
            phases: None,
            promoted_at: None,
        }
    }

    /// Sets the group's watchers, in the order in which they act.
    ///
    /// A host that is not listed processes events but starts no failover. While the list is empty,
    /// the host counts itself as a watcher and requires a second one for a quorum.
    pub fn set_watchers(&mut self, watchers: Vec<Watcher>) {
        self.watchers = watchers;
    }

    /// Applies a new configuration and drops the samples of removed instances.
    pub fn set_config(&mut self, config: &ServiceConfig) {
        self.config = config.clone();
        self.view
            .samples
            .retain(|instance, _| config.instances.contains_key(instance));
        self.probed_at
            .retain(|instance, _| config.instances.contains_key(instance));
    }

    /// Returns what this host knows of the group.
    pub fn view(&self) -> &GroupView {
        &self.view
    }

    /// Returns the phase durations of the last failover or change that this host completed.
    pub fn phases(&self) -> Option<Phases> {
        self.phases
    }

    /// Returns whether this host has an attempt in progress.
    pub fn is_acting(&self) -> bool {
        self.attempt.is_some()
    }

    /// Returns whether this host suspects the primary at `now`.
    pub fn is_suspecting(&self, now: Monotonic) -> bool {
        self.suspects_primary(now)
    }

    /// Processes an event and returns the actions to take.
    pub fn on_event(&mut self, now: Monotonic, event: FailoverEvent) -> Vec<FailoverAction> {
        let mut actions = Vec::new();
        self.detect_own_pause(now);
        self.update_probe_frequency(now);
        match event {
            FailoverEvent::Probed {
                instance,
                sent_at,
                status,
            } => self.on_probed(now, &instance, sent_at, status, &mut actions),
            FailoverEvent::Refused { instance, sent_at } => self.on_refused(&instance, sent_at),
            FailoverEvent::SuspicionReceived { host, domain, term } => {
                self.on_suspicion(now, host, domain, term, &mut actions);
            }
            FailoverEvent::LivenessReceived { host, domain, term } => {
                self.suspicion.record_liveness(now, host, domain, term);
            }
            FailoverEvent::DoubtReceived { term } => {
                if term == self.view.term {
                    self.note_doubt(now);
                }
            }
            FailoverEvent::Announced { term, primary } => {
                self.highest_term = self.highest_term.max(term);
                let had_primary = self.view.primary.is_some();
                if self.view.announce(term, &primary) {
                    self.on_new_primary(now, had_primary);
                }
            }
            FailoverEvent::Fenced {
                term,
                nonce,
                status,
                ..
            } => {
                if let Some(status) = status {
                    self.on_fenced(now, term, nonce, status, &mut actions);
                }
            }
            FailoverEvent::Recorded { term, outcome } => {
                self.on_recorded(now, term, &outcome, &mut actions);
            }
            FailoverEvent::CaughtUp { status, .. } => {
                if let Some(status) = status {
                    self.on_caught_up(status);
                }
            }
            FailoverEvent::Promoted {
                instance,
                term,
                status,
            } => self.on_promoted(now, &instance, term, status, &mut actions),
            FailoverEvent::ChangeRequested { instance } => {
                self.planned_change.request(now, instance);
            }
            FailoverEvent::Tick => {}
        }
        self.update_probe_frequency(now);
        self.advance(now, &mut actions);
        actions
    }

    // After a pause of this host, missing answers from before or during the pause are no evidence
    // that the primary failed.
    fn detect_own_pause(&mut self, now: Monotonic) {
        let was_paused = self
            .last_event_at
            .is_none_or(|at| now.saturating_sub(at) >= self.settings.suspect_after);
        if was_paused {
            self.suspicion.reset(now);
            self.attempt = None;
            self.doubted_at = None;
            self.frequent_probes_since = None;
        }
        self.last_event_at = Some(now);
    }

    fn on_suspicion(
        &mut self,
        now: Monotonic,
        host: HostId,
        domain: DomainId,
        term: Term,
        actions: &mut Vec<FailoverAction>,
    ) {
        self.highest_term = self.highest_term.max(term);
        self.suspicion.record_suspicion(now, host, domain, term);
        if term == self.view.term {
            self.note_doubt(now);
        }
        if term < self.view.term {
            self.reannounce(now, actions);
            return;
        }
        let recent = self.settings.probe_interval + self.settings.probe_timeout;
        let has_recent_proof = self.suspicion.has_proof_since(now.saturating_sub(recent));
        if term == self.view.term
            && has_recent_proof
            && self.may_share(now, self.liveness_shared_at)
        {
            self.liveness_shared_at = Some(now);
            actions.push(FailoverAction::ShareLiveness { term });
        }
    }

    fn reannounce(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
        let Some(primary) = self.view.primary.clone() else {
            return;
        };
        if self.may_share(now, self.announced_at) {
            self.announced_at = Some(now);
            let term = self.view.term;
            actions.push(FailoverAction::Announce { term, primary });
        }
    }

    fn may_share(&self, now: Monotonic, shared_at: Option<Monotonic>) -> bool {
        shared_at.is_none_or(|at| now.saturating_sub(at) >= self.settings.share_interval)
    }

    // Processes a status from any source.
    fn observe(&mut self, now: Monotonic, sent_at: Monotonic, status: InstanceStatus) {
        if !self.config.instances.contains_key(&status.instance) {
            return;
        }
        let seen_term = status.term.max(status.fence_term);
        if seen_term > self.highest_term {
            self.highest_term = seen_term;
            if status.fence_term > self.view.term {
                self.yield_to_other_attempt(now);
            }
        }
        let had_primary = self.view.primary.is_some();
        if self.view.observe(sent_at, status) {
            self.on_new_primary(now, had_primary);
        }
    }

    // Another host's attempt is in progress: wait for it to finish, and retry if it does not.
    fn yield_to_other_attempt(&mut self, now: Monotonic) {
        self.attempt = None;
        let grace = self.settings.attempt_grace;
        self.hold_until = self.hold_until.max(now + grace);
    }

    fn on_new_primary(&mut self, now: Monotonic, had_primary: bool) {
        self.highest_term = self.highest_term.max(self.view.term);
        self.suspicion.reset(now);
        self.doubted_at = None;
        self.failed_attempts = 0;
        self.hold_until = now;
        if had_primary {
            self.planned_change.note_primary_change(now);
        }
        // Another host may report the promotion first; this host's own attempt still ends with the
        // answer to its promotion request.
        let is_superseded = self.attempt.as_ref().is_some_and(|attempt| {
            attempt.term < self.view.term
                || (attempt.term == self.view.term && attempt.step != Step::Promote)
        });
        if is_superseded {
            self.attempt = None;
        }
    }

    fn is_watching(&self) -> bool {
        self.watchers.is_empty()
            || self
                .watchers
                .iter()
                .any(|watcher| watcher.host == self.host)
    }

    fn next_nonce(&mut self) -> Nonce {
        self.attempts_made += 1;
        let own = weight(&self.config.service, &self.host);
        mix(self.nonce_seed ^ own ^ mix(self.attempts_made))
    }
}
