//! How the control thread handles the events, timers and failover actions of groups.

use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use jujubehold_wire::peer::notify_request::Kind;
use log::info;
use metrics::histogram;

use super::control_loop::Control;
use super::group_driver::GroupDriver;
use super::relaying::RelayMode;
use crate::observation::Observation;

impl Control {
    /// Handles an observation of a traffic thread. A status counts like a probe's result.
    pub(super) fn on_observation(&mut self, observation: Observation) {
        match observation {
            Observation::Status {
                service,
                sent_at,
                status,
            } => {
                let event = FailoverEvent::Probed {
                    instance: status.instance.clone(),
                    sent_at,
                    status: Some(status),
                };
                self.note_traffic(&service);
                self.on_group_event(&service, event);
            }
            Observation::Unreachable { service, instance } => {
                self.note_traffic(&service);
                // A separate probe distinguishes a broken connection from an instance that is down.
                let is_watched = self
                    .groups
                    .get(&service)
                    .is_some_and(|group| group.due().is_some());
                if is_watched {
                    self.run_actions(&service, vec![FailoverAction::Probe { instance }]);
                }
            }
        }
    }

    fn note_traffic(&mut self, service: &ServiceId) {
        let now = self.clock.now();
        if let Some(group) = self.groups.get_mut(service) {
            group.note_traffic(now);
        }
    }

    /// Handles an event of a group and runs the resulting actions.
    pub(super) fn on_group_event(&mut self, service: &ServiceId, event: FailoverEvent) {
        let now = self.clock.now();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let is_view_update = match &event {
            FailoverEvent::Probed { status, .. } => status.is_some(),
            FailoverEvent::Announced { .. } | FailoverEvent::Promoted { .. } => true,
            FailoverEvent::Refused { .. }
            | FailoverEvent::SuspicionReceived { .. }
            | FailoverEvent::DoubtReceived { .. }
            | FailoverEvent::LivenessReceived { .. }
            | FailoverEvent::Fenced { .. }
            | FailoverEvent::Recorded { .. }
            | FailoverEvent::CaughtUp { .. }
            | FailoverEvent::ChangeRequested { .. }
            | FailoverEvent::Tick => false,
        };
        let old_due = group.due();
        let (actions, is_new_primary) = group.on_event(now, event);
        let new_due = group.due();
        if is_new_primary {
            let view = group.view();
            let primary = view.primary.as_deref().unwrap_or_default();
            info!(service = service.as_str(), term = view.term, primary; "the primary changed");
            self.is_publish_urgent = true;
        }
        if is_view_update || is_new_primary {
            self.changed_services.insert(service.clone());
        }
        self.reset_timer(service, old_due, new_due);
        self.run_actions(service, actions);
    }

    /// Sends a tick to each group whose timer has expired.
    pub(super) fn tick_groups(&mut self, now: Monotonic) {
        while let Some((due, _)) = self.timers.first()
            && *due <= now
            && let Some((_, service)) = self.timers.pop_first()
        {
            self.on_group_event(&service, FailoverEvent::Tick);
        }
    }

    /// Replaces a group's timer.
    pub(super) fn reset_timer(
        &mut self,
        service: &ServiceId,
        old_due: Option<Monotonic>,
        new_due: Option<Monotonic>,
    ) {
        if let Some(due) = old_due {
            self.timers.remove(&(due, service.clone()));
        }
        if let Some(due) = new_due {
            // A group that is due immediately is delayed by the minimum interval, so that no group
            // can block the loop.
            let earliest = self.clock.now() + MIN_TICK_INTERVAL;
            let due = due.max(earliest);
            if let Some(group) = self.groups.get_mut(service) {
                group.set_due(due);
            }
            self.timers.insert((due, service.clone()));
        }
    }

    fn run_actions(&mut self, service: &ServiceId, actions: Vec<FailoverAction>) {
        for action in actions {
            match &action {
                FailoverAction::ShareSuspicion { term } => {
                    self.share(service, *term, Kind::Suspicion);
                }
                FailoverAction::ShareDoubt { term } => self.share(service, *term, Kind::Doubt),
                FailoverAction::ShareLiveness { term } => {
                    self.share(service, *term, Kind::Liveness);
                }
                FailoverAction::Announce { term, primary } => {
                    self.report_phases(service);
                    self.announce(service, *term, primary);
                }
                FailoverAction::Probe { .. }
                | FailoverAction::Record { .. }
                | FailoverAction::Fence { .. }
                | FailoverAction::CatchUp { .. }
                | FailoverAction::Promote { .. }
                | FailoverAction::Follow { .. } => {
                    if let Some(group) = self.groups.get(service) {
                        self.runner.run(group.config(), &action);
                    }
                }
            }
        }
    }

    /// Logs and records the phase durations of a failover that this host completed.
    fn report_phases(&self, service: &ServiceId) {
        let Some(phases) = self.groups.get(service).and_then(GroupDriver::phases) else {
            return;
        };
        info!(service = service.as_str(), detect_ms = ms(phases.detect),
            agree_ms = ms(phases.agree), fence_ms = ms(phases.fence), wait_ms = ms(phases.wait),
            promote_ms = ms(phases.promote); "replaced the primary");
        for (part, duration) in phases.parts() {
            histogram!("jujubehold_failover_seconds", "part" => part).record(duration);
        }
    }

    /// Notifies the group's other watchers of this host's assessment of the primary.
    fn share(&mut self, service: &ServiceId, term: Term, kind: fn(peer::Suspicion) -> Kind) {
        let Some(group) = self.groups.get(service) else {
            return;
        };
        let kind = kind(peer::Suspicion {
            service: service.to_string(),
            term,
            primary: group.view().primary.as_deref().unwrap_or_default().into(),
        });
        let hosts: Vec<_> = group.watchers().iter().map(|w| w.host.clone()).collect();
        for host in hosts {
            self.notify(&host, kind.clone(), RelayMode::NoRelay);
        }
    }

    /// Announces a new primary to the group's watchers, and through relays to every failure domain.
    fn announce(&mut self, service: &ServiceId, term: Term, primary: &InstanceId) {
        let record = peer::GroupRecord {
            service: service.to_string(),
            term,
            primary: primary.to_string(),
        };
        let kind = Kind::Announcement(record);
        let watchers: Vec<_> = self
            .groups
            .get(service)
            .map(|group| group.watchers().iter().map(|w| w.host.clone()).collect())
            .unwrap_or_default();
        for host in watchers {
            self.notify(&host, kind.clone(), RelayMode::NoRelay);
        }
        self.notify_domains(&kind);
    }
}

fn ms(duration: Monotonic) -> u64 {
    u64::try_from(duration.as_millis()).unwrap_or(u64::MAX)
}

/// The minimum interval between two ticks of one group.
const MIN_TICK_INTERVAL: Monotonic = Monotonic::from_millis(5);
