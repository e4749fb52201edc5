//! How a group's failed primary is replaced.
//!
//! Each watcher of a group runs one [`Failover`]. Several may act at once, and any event or action
//! may be lost, doubled or late: the fences of a majority decide who owns a term, so none of this
//! can make two primaries acknowledge. See docs/notes/failover.md.

mod answers;
mod attempt;
mod change;
mod closeness;
mod leaving;
mod phases;
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
use change::ChangeWish;
use suspicion::SuspicionTable;

/// The failover of one group, as one of its watchers runs it.
///
/// A group of three instances with six watchers takes about 5 KB, most of it the marks of
/// [`GroupView`].
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
    // No attempt starts before this time, because one failed or another host's is under way.
    hold_until: Monotonic,
    wish: ChangeWish,
    probed_at: BTreeMap<InstanceId, Monotonic>,
    follow_sent_at: BTreeMap<InstanceId, Monotonic>,
    last_event_at: Option<Monotonic>,
    suspicion_shared_at: Option<Monotonic>,
    liveness_shared_at: Option<Monotonic>,
    doubt_shared_at: Option<Monotonic>,
    // Since when this host has probed the primary often; see `closeness`.
    close_since: Option<Monotonic>,
    alerted_at: Option<Monotonic>,
    traffic_at: Option<Monotonic>,
    announced_at: Option<Monotonic>,
    phases: Option<Phases>,
    promoted_at: Option<Monotonic>,
}

impl Failover {
    /// The failover of a group of which nothing is known yet.
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
            wish: ChangeWish::default(),
            probed_at: BTreeMap::new(),
            follow_sent_at: BTreeMap::new(),
            last_event_at: None,
            suspicion_shared_at: None,
            liveness_shared_at: None,
            doubt_shared_at: None,
            close_since: None,
            alerted_at: None,
            traffic_at: None,
            announced_at: None,
            phases: None,
            promoted_at: None,
        }
    }

    /// Names the group's watchers, in the order in which they would act.
    ///
    /// A host that is not among them takes in what it hears and starts nothing. With no list at
    /// all, the host counts itself as a watcher and asks for a second one.
    pub fn set_watchers(&mut self, watchers: Vec<Watcher>) {
        self.watchers = watchers;
    }

    /// Takes in the configuration that is now in force.
    pub fn set_config(&mut self, config: &ServiceConfig) {
        self.config = config.clone();
        self.view
            .samples
            .retain(|instance, _| config.instances.contains_key(instance));
        self.probed_at
            .retain(|instance, _| config.instances.contains_key(instance));
    }

    /// What this host knows of the group.
    pub fn view(&self) -> &GroupView {
        &self.view
    }

    /// The parts of the last run that this host brought to its end.
    pub fn phases(&self) -> Option<Phases> {
        self.phases
    }

    /// Whether an attempt of this host is under way.
    pub fn is_acting(&self) -> bool {
        self.attempt.is_some()
    }

    /// Whether this host suspects the primary at `now`.
    pub fn is_suspecting(&self, now: Monotonic) -> bool {
        self.suspects(now)
    }

    /// Takes in an event and says what to do.
    pub fn on_event(&mut self, now: Monotonic, event: FailoverEvent) -> Vec<FailoverAction> {
        let mut actions = Vec::new();
        self.notice_own_pause(now);
        self.update_closeness(now);
        match event {
            FailoverEvent::Probed {
                instance,
                sent_at,
                status,
            } => self.on_probed(now, &instance, sent_at, status, &mut actions),
            FailoverEvent::Refused { instance, sent_at } => self.on_refused(&instance, sent_at),
            FailoverEvent::SuspicionHeard { host, domain, term } => {
                self.on_suspicion(now, host, domain, term, &mut actions);
            }
            FailoverEvent::LivenessHeard { host, domain, term } => {
                self.suspicion.hear_liveness(now, host, domain, term);
            }
            FailoverEvent::DoubtHeard { term } => {
                if term == self.view.term {
                    self.alert(now);
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
            FailoverEvent::ChangeOrdered { instance } => self.wish.order(now, instance),
            FailoverEvent::Tick => {}
        }
        self.update_closeness(now);
        self.advance(now, &mut actions);
        actions
    }

    // A host that was paused knows nothing of the meantime: what it did not hear while it was
    // paused is no sign that the primary failed.
    fn notice_own_pause(&mut self, now: Monotonic) {
        let was_paused = self
            .last_event_at
            .is_none_or(|at| now.saturating_sub(at) >= self.settings.suspect_after);
        if was_paused {
            self.suspicion.reset(now);
            self.attempt = None;
            self.alerted_at = None;
            self.close_since = None;
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
        self.suspicion.hear_suspicion(now, host, domain, term);
        if term == self.view.term {
            self.alert(now);
        }
        if term < self.view.term {
            self.announce_again(now, actions);
            return;
        }
        let recent = self.settings.probe_interval + self.settings.probe_timeout;
        let is_alive = self.suspicion.has_proof_since(now.saturating_sub(recent));
        if term == self.view.term && is_alive && self.may_share(now, self.liveness_shared_at) {
            self.liveness_shared_at = Some(now);
            actions.push(FailoverAction::ShareLiveness { term });
        }
    }

    fn announce_again(&mut self, now: Monotonic, actions: &mut Vec<FailoverAction>) {
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

    // Takes in a status of whatever origin.
    fn observe(&mut self, now: Monotonic, sent_at: Monotonic, status: InstanceStatus) {
        if !self.config.instances.contains_key(&status.instance) {
            return;
        }
        let seen_term = status.term.max(status.fence_term);
        if seen_term > self.highest_term {
            self.highest_term = seen_term;
            if status.fence_term > self.view.term {
                self.yield_to_other(now);
            }
        }
        let had_primary = self.view.primary.is_some();
        if self.view.observe(sent_at, status) {
            self.on_new_primary(now, had_primary);
        }
    }

    // Another host's attempt is under way: this one lets it end, and tries again if it does not.
    fn yield_to_other(&mut self, now: Monotonic) {
        self.attempt = None;
        let grace = self.settings.attempt_grace;
        self.hold_until = self.hold_until.max(now + grace);
    }

    fn on_new_primary(&mut self, now: Monotonic, had_primary: bool) {
        self.highest_term = self.highest_term.max(self.view.term);
        self.suspicion.reset(now);
        self.alerted_at = None;
        self.failed_attempts = 0;
        self.hold_until = now;
        if had_primary {
            self.wish.note_change(now);
        }
        // A promotion that others saw first still ends by its own answer.
        let is_passed = self.attempt.as_ref().is_some_and(|attempt| {
            attempt.term < self.view.term
                || (attempt.term == self.view.term && attempt.step != Step::Promote)
        });
        if is_passed {
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
