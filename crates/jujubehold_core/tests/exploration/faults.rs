//! The platform's record, replication, and fault injection.

use jujubehold_core::failover_event::{FailoverEvent, RecordOutcome};
use jujubehold_core::prelude::*;

use crate::message::Event;
use crate::simulation::{DOMAINS, Simulation};

impl Simulation {
    pub(crate) fn on_record(&mut self, host: usize, term: Term, nonce: Nonce) {
        let outcome = if self.platform_available_at > self.now {
            RecordOutcome::Unavailable
        } else if self.record == (term, nonce) || term > self.record.0 {
            self.record = (term, nonce);
            // The reply may be lost after the change took effect.
            if self.random.percent(10) {
                RecordOutcome::Unavailable
            } else {
                RecordOutcome::Written
            }
        } else {
            RecordOutcome::Lost {
                term: self.record.0,
            }
        };
        let delay = self.random.between(1, 40);
        let event = FailoverEvent::Recorded { term, outcome };
        self.push(delay, Event::Notification { host, event });
    }

    fn is_running(&self, name: &InstanceId) -> bool {
        let frozen_until = self.instance_frozen_until.get(name).copied().unwrap_or(0);
        !self.instances[name].is_down && frozen_until <= self.now
    }

    pub(crate) fn replicate(&mut self) {
        self.push(7, Event::Replicate);
        for (name, restarts_at) in &self.instance_restarts_at {
            if *restarts_at <= self.now
                && let Some(instance) = self.instances.get_mut(name)
            {
                instance.is_down = false;
            }
        }
        let names: Vec<_> = self.instances.keys().cloned().collect();
        for name in names {
            let followed_primary = self.instances[&name].followed_primary.clone();
            let Some((followed_primary, _)) = followed_primary.filter(|_| self.is_running(&name))
            else {
                continue;
            };
            let domain = |name| &self.config.instances[name].domain;
            let is_slow = self.random.percent(30) || self.is_replication_stopped;
            if is_slow
                || !self.is_running(&followed_primary)
                || self.is_partitioned(domain(&name), domain(&followed_primary))
            {
                continue;
            }
            let primary = self.instances[&followed_primary].clone();
            let (pulled, applied) = (self.random.between(1, 4), self.random.between(0, 3));
            let instance = self
                .instances
                .get_mut(&name)
                .expect("the instance is configured");
            instance.pull(
                &primary,
                usize::try_from(pulled).expect("the value is small"),
            );
            instance.apply(usize::try_from(applied).expect("the value is small"));
        }
    }

    pub(crate) fn inject_fault(&mut self) {
        let now = self.now;
        let names = ["a", "b", "c"].map(InstanceId::from);
        let name =
            names[usize::try_from(self.random.below(3)).expect("the value is small")].clone();
        let host = usize::try_from(self.random.below(3)).expect("the value is small");
        let until = now + self.random.between(300, 5000);
        let what = match self.random.below(6) {
            // Only one instance is lost at a time: the loss of more exceeds what one confirmation
            // protects against.
            0 if self.instances.values().all(|instance| !instance.is_down) => {
                self.instances
                    .get_mut(&name)
                    .expect("the instance is configured")
                    .is_down = true;
                self.instance_restarts_at.insert(name.clone(), until);
                format!("{name} is lost")
            }
            0 | 1 => {
                self.instance_frozen_until.insert(name.clone(), until);
                format!("{name} is frozen")
            }
            2 => {
                let until = until.min(now + 3000);
                self.hosts[host].frozen_until = until;
                format!("h{host} is frozen")
            }
            3 => {
                let other = (host + 1) % 3;
                let ends = (DOMAINS[host].into(), DOMAINS[other].into());
                self.partitions.insert(ends, until);
                format!("{} and {} are partitioned", DOMAINS[host], DOMAINS[other])
            }
            4 => {
                self.platform_available_at = until;
                "the platform is unavailable".to_owned()
            }
            _ => {
                let event = FailoverEvent::ChangeRequested {
                    instance: name.clone(),
                };
                if self.hosts[host].frozen_until <= now {
                    self.on_failover_event(host, event);
                }
                format!("h{host} is requested to change to {name}")
            }
        };
        self.faults
            .push(format!("{now} ms until {until} ms: {what}"));
    }
}
