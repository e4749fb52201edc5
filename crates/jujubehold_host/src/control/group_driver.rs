//! One service's group, as this host knows or watches it.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubehold_core::failover::{Failover, FailoverSettings, Phases};
use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::former_members::FormerMembers;
use jujubehold_core::ownership::Watcher;
use jujubehold_core::prelude::*;

use crate::routing_table::Owner;

/// A group. A host that watches it runs its failover; any other host only takes in what it hears,
/// which costs nothing while nothing happens.
#[derive(Debug)]
pub(crate) struct GroupDriver {
    config: Arc<ServiceConfig>,
    former_members: FormerMembers,
    view: GroupView,
    failover: Option<Box<Failover>>,
    watchers: Vec<Watcher>,
    owners: BTreeMap<InstanceId, Vec<Owner>>,
    due: Option<Monotonic>,
}

/// Who runs a failover, and with which settings.
#[derive(Debug)]
pub(crate) struct FailoverOwner {
    pub(crate) settings: FailoverSettings,
    pub(crate) host: HostId,
    pub(crate) domain: DomainId,
    pub(crate) nonce_seed: u64,
}

impl GroupDriver {
    /// A group of which nothing but its configuration is known.
    pub(crate) fn new(config: Arc<ServiceConfig>) -> Self {
        Self {
            config,
            former_members: FormerMembers::default(),
            view: GroupView::default(),
            failover: None,
            watchers: Vec::new(),
            owners: BTreeMap::new(),
            due: None,
        }
    }

    /// The configuration in force.
    pub(crate) fn config(&self) -> &Arc<ServiceConfig> {
        &self.config
    }

    /// What this host knows of the group.
    pub(crate) fn view(&self) -> &GroupView {
        self.failover
            .as_ref()
            .map_or(&self.view, |failover| failover.view())
    }

    /// The hosts that watch the group.
    pub(crate) fn watchers(&self) -> &[Watcher] {
        &self.watchers
    }

    /// The hosts that own each instance's connections.
    pub(crate) fn owners(&self) -> &BTreeMap<InstanceId, Vec<Owner>> {
        &self.owners
    }

    /// Takes in who owns each instance's connections.
    pub(crate) fn set_owners(&mut self, owners: BTreeMap<InstanceId, Vec<Owner>>) {
        self.owners = owners;
    }

    /// The parts of the last failover that this host brought to its end.
    pub(crate) fn phases(&self) -> Option<Phases> {
        self.failover
            .as_ref()
            .and_then(|failover| failover.phases())
    }

    /// When the group must be looked at; `None` when this host does not watch it.
    pub(crate) fn due(&self) -> Option<Monotonic> {
        self.due
    }

    /// Moves the time at which the group must be looked at.
    pub(crate) fn set_due(&mut self, due: Monotonic) {
        self.due = Some(due);
    }

    /// Notes that this host's traffic uses the group.
    pub(crate) fn note_traffic(&mut self, now: Monotonic) {
        if let Some(failover) = &mut self.failover {
            failover.note_traffic(now);
        }
    }

    /// Takes in a new configuration, by which this host counts beside the former lists of
    /// instances for a while.
    pub(crate) fn take_config(&mut self, now: Monotonic, config: ServiceConfig) {
        self.former_members.note(now, &self.config, &config);
        self.set_config(config);
    }

    fn set_config(&mut self, mut config: ServiceConfig) {
        config.former_members = self.former_members.lists();
        let config = Arc::new(config);
        if let Some(failover) = &mut self.failover {
            failover.set_config(&config);
        }
        self.config = config;
    }

    /// Takes in who watches the group; begins or ends watching it.
    ///
    /// An attempt under way is never dropped: its end is this host's, whoever watches next.
    pub(crate) fn set_watchers(
        &mut self,
        now: Monotonic,
        watchers: Vec<Watcher>,
        owner: &FailoverOwner,
    ) {
        let is_watcher =
            watchers.is_empty() || watchers.iter().any(|watcher| watcher.host == owner.host);
        self.watchers = watchers;
        if is_watcher && self.failover.is_none() {
            self.begin(now, owner);
        }
        let is_acting = self
            .failover
            .as_ref()
            .is_some_and(|failover| failover.is_acting());
        if !is_watcher && !is_acting {
            self.end();
            return;
        }
        if let Some(failover) = &mut self.failover {
            failover.set_watchers(self.watchers.clone());
        }
    }

    fn begin(&mut self, now: Monotonic, owner: &FailoverOwner) {
        let mut failover = Failover::new(
            owner.settings.clone(),
            &self.config,
            owner.host.clone(),
            owner.domain.clone(),
            owner.nonce_seed,
        );
        if let Some(primary) = self.view.primary.clone() {
            let term = self.view.term;
            // The first event only sets the clock; its probes follow with the next tick.
            failover.on_event(now, FailoverEvent::Announced { term, primary });
        }
        self.due = Some(now);
        self.failover = Some(Box::new(failover));
    }

    fn end(&mut self) {
        if let Some(failover) = self.failover.take() {
            self.view = failover.view().clone();
        }
        self.due = None;
    }

    /// Takes in an event; returns what to do, and whether the primary changed.
    pub(crate) fn on_event(
        &mut self,
        now: Monotonic,
        event: FailoverEvent,
    ) -> (Vec<FailoverAction>, bool) {
        if self.former_members.expire(now) {
            self.set_config(self.config.as_ref().clone());
        }
        let term = self.view().term;
        let actions = if let Some(failover) = &mut self.failover {
            let actions = failover.on_event(now, event);
            self.due = Some(failover.next_wakeup());
            actions
        } else {
            self.take_in(event);
            Vec::new()
        };
        (actions, self.view().term != term)
    }

    fn take_in(&mut self, event: FailoverEvent) {
        match event {
            FailoverEvent::Probed {
                sent_at,
                status: Some(status),
                ..
            } => {
                if self.config.instances.contains_key(&status.instance) {
                    self.view.observe(sent_at, status);
                }
            }
            FailoverEvent::Announced { term, primary } => {
                self.view.announce(term, &primary);
            }
            FailoverEvent::Probed { status: None, .. }
            | FailoverEvent::Refused { .. }
            | FailoverEvent::SuspicionReceived { .. }
            | FailoverEvent::DoubtReceived { .. }
            | FailoverEvent::LivenessReceived { .. }
            | FailoverEvent::Fenced { .. }
            | FailoverEvent::Recorded { .. }
            | FailoverEvent::CaughtUp { .. }
            | FailoverEvent::Promoted { .. }
            | FailoverEvent::ChangeRequested { .. }
            | FailoverEvent::Tick => {}
        }
    }
}
