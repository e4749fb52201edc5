//! The state of one service's group on this host, whether or not the host watches it.

use std::collections::BTreeMap;
use std::sync::Arc;

use jujubehold_core::failover::{Failover, FailoverSettings, Phases};
use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::former_members::FormerMembers;
use jujubehold_core::ownership::Watcher;
use jujubehold_core::prelude::*;

use crate::routing_table::Owner;

/// The state of one group. A host that watches the group runs its failover; any other host only
/// applies what it receives, which costs nothing while nothing happens.
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

/// The settings and the host identity with which this host runs failovers.
#[derive(Debug)]
pub(crate) struct FailoverContext {
    pub(crate) settings: FailoverSettings,
    pub(crate) host: HostId,
    pub(crate) domain: DomainId,
    pub(crate) nonce_seed: u64,
}

impl GroupDriver {
    /// Creates a group of which only the configuration is known.
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

    /// Returns the current configuration.
    pub(crate) fn config(&self) -> &Arc<ServiceConfig> {
        &self.config
    }

    /// Returns this host's view of the group.
    pub(crate) fn view(&self) -> &GroupView {
        self.failover
            .as_ref()
            .map_or(&self.view, |failover| failover.view())
    }

    /// Returns the hosts that watch the group.
    pub(crate) fn watchers(&self) -> &[Watcher] {
        &self.watchers
    }

    /// Returns the owners of each instance's connections.
    pub(crate) fn owners(&self) -> &BTreeMap<InstanceId, Vec<Owner>> {
        &self.owners
    }

    /// Sets the owners of each instance's connections.
    pub(crate) fn set_owners(&mut self, owners: BTreeMap<InstanceId, Vec<Owner>>) {
        self.owners = owners;
    }

    /// Returns the phase durations of the last failover that this host completed.
    pub(crate) fn phases(&self) -> Option<Phases> {
        self.failover
            .as_ref()
            .and_then(|failover| failover.phases())
    }

    /// Returns when the group needs its next tick; `None` when this host does not watch it.
    pub(crate) fn due(&self) -> Option<Monotonic> {
        self.due
    }

    /// Sets when the group needs its next tick.
    pub(crate) fn set_due(&mut self, due: Monotonic) {
        self.due = Some(due);
    }

    /// Records that this host's traffic uses the group.
    pub(crate) fn note_traffic(&mut self, now: Monotonic) {
        if let Some(failover) = &mut self.failover {
            failover.note_traffic(now);
        }
    }

    /// Applies a new configuration. For a while, majorities are counted over the former lists of
    /// instances as well.
    pub(crate) fn apply_config(&mut self, now: Monotonic, config: ServiceConfig) {
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

    /// Sets the hosts that watch the group, and starts or stops watching it.
    ///
    /// A failover attempt in progress is never abandoned: this host completes it even if it is no
    /// longer a watcher.
    pub(crate) fn set_watchers(
        &mut self,
        now: Monotonic,
        watchers: Vec<Watcher>,
        context: &FailoverContext,
    ) {
        let is_watcher =
            watchers.is_empty() || watchers.iter().any(|watcher| watcher.host == context.host);
        self.watchers = watchers;
        if is_watcher && self.failover.is_none() {
            self.start_failover(now, context);
        }
        let is_acting = self
            .failover
            .as_ref()
            .is_some_and(|failover| failover.is_acting());
        if !is_watcher && !is_acting {
            self.stop_failover();
            return;
        }
        if let Some(failover) = &mut self.failover {
            failover.set_watchers(self.watchers.clone());
        }
    }

    fn start_failover(&mut self, now: Monotonic, context: &FailoverContext) {
        let mut failover = Failover::new(
            context.settings.clone(),
            &self.config,
            context.host.clone(),
            context.domain.clone(),
            context.nonce_seed,
        );
        if let Some(primary) = self.view.primary.clone() {
            let term = self.view.term;
            // The first event only sets the clock, so its actions can be dropped; the probes follow
            // with the next tick.
            failover.on_event(now, FailoverEvent::Announced { term, primary });
        }
        self.due = Some(now);
        self.failover = Some(Box::new(failover));
    }

    fn stop_failover(&mut self) {
        if let Some(failover) = self.failover.take() {
            self.view = failover.view().clone();
        }
        self.due = None;
    }

    /// Handles an event; returns the actions to run, and whether the primary's term changed.
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
            self.apply_to_view(event);
            Vec::new()
        };
        (actions, self.view().term != term)
    }

    fn apply_to_view(&mut self, event: FailoverEvent) {
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
