//! The platform's record, replication, and what fails.

use jujubehold_core::failover_event::{FailoverEvent, RecordOutcome};
use jujubehold_core::prelude::*;

use crate::message::Event;
use crate::world::{DOMAINS, World};

impl World {
    pub(crate) fn on_record(&mut self, host: usize, term: Term, nonce: Nonce) {
        let outcome = if self.platform_back_at > self.now {
            RecordOutcome::Unavailable
        } else if self.record == (term, nonce) || term > self.record.0 {
            self.record = (term, nonce);
            // The answer may be lost after the change took effect.
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
        self.push(delay, Event::Heard { host, event });
    }

    fn is_running(&self, name: &InstanceId) -> bool {
        let wakes_at = self.instance_wakes_at.get(name).copied().unwrap_or(0);
        !self.instances[name].is_down && wakes_at <= self.now
    }

    pub(crate) fn replicate(&mut self) {
        self.push(7, Event::Replicate);
        for (name, returns_at) in &self.instance_returns_at {
            if *returns_at <= self.now
                && let Some(instance) = self.instances.get_mut(name)
            {
                instance.is_down = false;
            }
        }
        let names: Vec<_> = self.instances.keys().cloned().collect();
        for name in names {
            let leader = self.instances[&name].leader.clone();
            let Some((leader, _)) = leader.filter(|_| self.is_running(&name)) else {
                continue;
            };
            let domain = |name| &self.config.instances[name].domain;
            let is_slow = self.random.percent(30) || self.is_replication_stopped;
            if is_slow || !self.is_running(&leader) || self.is_cut(domain(&name), domain(&leader)) {
                continue;
            }
            let primary = self.instances[&leader].clone();
            let (pulled, applied) = (self.random.between(1, 4), self.random.between(0, 3));
            let instance = self.instances.get_mut(&name).expect("it is listed");
            instance.pull(&primary, usize::try_from(pulled).expect("it is small"));
            instance.apply(usize::try_from(applied).expect("it is small"));
        }
    }

    pub(crate) fn fail(&mut self) {
        let now = self.now;
        let names = ["a", "b", "c"].map(InstanceId::from);
        let name = names[usize::try_from(self.random.below(3)).expect("it is small")].clone();
        let host = usize::try_from(self.random.below(3)).expect("it is small");
        let until = now + self.random.between(300, 5000);
        let what = match self.random.below(6) {
            // Only one instance is lost at a time: more is beyond what one confirmation covers.
            0 if self.instances.values().all(|instance| !instance.is_down) => {
                self.instances.get_mut(&name).expect("it is listed").is_down = true;
                self.instance_returns_at.insert(name.clone(), until);
                format!("{name} is lost")
            }
            0 | 1 => {
                self.instance_wakes_at.insert(name.clone(), until);
                format!("{name} is frozen")
            }
            2 => {
                let until = until.min(now + 3000);
                self.hosts[host].asleep_until = until;
                format!("h{host} is frozen")
            }
            3 => {
                let other = (host + 1) % 3;
                let ends = (DOMAINS[host].into(), DOMAINS[other].into());
                self.cuts.insert(ends, until);
                format!("{} and {} are cut", DOMAINS[host], DOMAINS[other])
            }
            4 => {
                self.platform_back_at = until;
                "the platform is out".to_owned()
            }
            _ => {
                let event = FailoverEvent::ChangeRequested {
                    instance: name.clone(),
                };
                if self.hosts[host].asleep_until <= now {
                    self.feed(host, event);
                }
                format!("h{host} is ordered to change to {name}")
            }
        };
        self.faults
            .push(format!("{now} ms until {until} ms: {what}"));
    }
}
