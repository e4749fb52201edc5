//! Hosts, a group, a platform and callers, under delay, loss, doubling and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubehold_core::failover::{Failover, FailoverSettings};
use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::ownership::Watcher;
use jujubehold_core::prelude::*;
use jujubehold_core::replay::{action_line, event_line, group_line, watchers_line};

use crate::callers::Callers;
use crate::instance::Instance;
use crate::message::{Ask, Event};
use crate::random::Random;
use crate::support::config;

/// The model's own time, in milliseconds.
pub(crate) type At = u64;

/// A fault in the product that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Planted {
    Nothing,
    FencingIgnored,
    FloorCheckIgnored,
    AtMostOnceIgnored,
}

pub(crate) struct Host {
    pub(crate) failover: Failover,
    pub(crate) domain: DomainId,
    pub(crate) offset: Duration,
    pub(crate) rate_percent: u64,
    pub(crate) asleep_until: At,
}

impl Host {
    fn clock(&self, now: At) -> Monotonic {
        // Rates differ by two percent at most, within the authority's allowance for drift.
        self.offset + Duration::from_micros(now * 10 * self.rate_percent)
    }
}

pub(crate) struct World {
    pub(crate) planted: Planted,
    pub(crate) config: ServiceConfig,
    pub(crate) random: Random,
    pub(crate) now: At,
    pub(crate) hosts: Vec<Host>,
    pub(crate) instances: BTreeMap<InstanceId, Instance>,
    pub(crate) callers: Callers,
    /// When each term's primary was promoted.
    pub(crate) promoted_at: BTreeMap<Term, At>,
    pub(crate) faults: Vec<String>,
    pub(crate) is_replication_stopped: bool,
    /// What the first host took in and did, as a trace.
    pub(crate) trace: Vec<String>,
    pub(crate) queue: BTreeMap<(At, u64), Event>,
    pub(crate) next_number: u64,
    pub(crate) answered: BTreeSet<u64>,
    pub(crate) committed: BTreeSet<u64>,
    pub(crate) cuts: BTreeMap<(DomainId, DomainId), At>,
    pub(crate) instance_wakes_at: BTreeMap<InstanceId, At>,
    pub(crate) instance_returns_at: BTreeMap<InstanceId, At>,
    pub(crate) platform_back_at: At,
    pub(crate) record: (Term, Nonce),
    pub(crate) calm_from: At,
}

pub(crate) const DOMAINS: [&str; 3] = ["delta", "gulf", "piedmont"];

impl World {
    pub(crate) fn new(seed: u64, planted: Planted, confirm: Confirm, calm_from: At) -> Self {
        let mut config = config();
        config.confirm = confirm;
        let watchers: Vec<_> = (0..3)
            .map(|number| Watcher {
                host: format!("h{number}").into(),
                domain: DOMAINS[number].into(),
            })
            .collect();
        let hosts = watchers.iter().zip([98, 100, 102]).enumerate();
        let hosts = hosts.map(|(number, (watcher, rate_percent))| {
            let settings = FailoverSettings::default();
            let (host, domain) = (watcher.host.clone(), watcher.domain.clone());
            let mut failover = Failover::new(settings, &config, host, domain.clone(), seed);
            failover.set_watchers(watchers.clone());
            Host {
                failover,
                domain,
                offset: Duration::from_secs(1000 * (number as u64 + 1)),
                rate_percent,
                asleep_until: 0,
            }
        });
        let trace = vec![
            group_line(&config, &watchers[0].host, &watchers[0].domain, seed),
            watchers_line(&watchers),
        ];
        let mut instances = BTreeMap::new();
        for (name, leader) in [("a", None), ("b", Some("a")), ("c", Some("a"))] {
            let mut instance = Instance::new(name, leader);
            instance.ignores_fence = planted == Planted::FencingIgnored;
            instances.insert(name.into(), instance);
        }
        let mut world = Self {
            planted,
            hosts: hosts.collect(),
            config,
            random: Random::new(seed),
            now: 0,
            instances,
            callers: Callers::default(),
            promoted_at: BTreeMap::from([(1, 0)]),
            faults: Vec::new(),
            is_replication_stopped: false,
            trace,
            queue: BTreeMap::new(),
            next_number: 0,
            answered: BTreeSet::new(),
            committed: BTreeSet::new(),
            cuts: BTreeMap::new(),
            instance_wakes_at: BTreeMap::new(),
            instance_returns_at: BTreeMap::new(),
            platform_back_at: 0,
            record: (1, 0),
            calm_from,
        };
        for host in 0..3 {
            world.push(host as u64, Event::Tick { host });
        }
        world.push(1, Event::Replicate);
        world.push(300, Event::Caller);
        world.push(1000, Event::Fail);
        world
    }

    pub(crate) fn run(&mut self, until: At) {
        while let Some(entry) = self.queue.first_entry() {
            let (at, _) = *entry.key();
            if at > until {
                return;
            }
            let event = entry.remove();
            self.now = at;
            self.handle(event);
        }
    }

    pub(crate) fn clock(&self, host: usize) -> Monotonic {
        self.hosts[host].clock(self.now)
    }

    pub(crate) fn push(&mut self, delay: At, event: Event) {
        self.next_number += 1;
        self.queue
            .insert((self.now + delay, self.next_number), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { host } => {
                self.push(50, Event::Tick { host });
                if self.hosts[host].asleep_until <= self.now {
                    self.feed(host, FailoverEvent::Tick);
                    self.tick_callers(host);
                }
            }
            Event::Asked {
                host,
                instance,
                ask,
                asked_at,
                number,
            } => {
                self.on_asked(host, instance, ask, asked_at, number);
            }
            Event::Answered {
                host,
                instance,
                ask,
                asked_at,
                number,
                answer,
            } => {
                let asleep_until = self.hosts[host].asleep_until;
                if asleep_until > self.now {
                    let delay = asleep_until - self.now;
                    self.push(
                        delay,
                        Event::Answered {
                            host,
                            instance,
                            ask,
                            asked_at,
                            number,
                            answer,
                        },
                    );
                    return;
                }
                // A late answer after the timeout, and a doubled one, are dropped by the host.
                if self.answered.insert(number) {
                    self.on_answered(host, &instance, &ask, asked_at, answer);
                }
            }
            Event::Heard { host, event } => {
                let asleep_until = self.hosts[host].asleep_until;
                if asleep_until > self.now {
                    self.push(asleep_until - self.now, Event::Heard { host, event });
                } else {
                    self.feed(host, event);
                }
            }
            Event::Record { host, term, nonce } => self.on_record(host, term, nonce),
            Event::Replicate => self.replicate(),
            Event::Caller => {
                let delay = self.random.between(5, 60);
                self.push(delay, Event::Caller);
                self.call();
            }
            Event::Fail => {
                let delay = self.random.between(200, 2500);
                self.push(delay, Event::Fail);
                if self.now < self.calm_from {
                    self.fail();
                }
            }
        }
    }

    pub(crate) fn feed(&mut self, host: usize, event: FailoverEvent) {
        let clock = self.clock(host);
        let line = event_line(clock, &event);
        let actions = self.hosts[host].failover.on_event(clock, event);
        if host == 0 {
            self.trace.push(line);
            self.trace.extend(actions.iter().filter_map(action_line));
        }
        for action in actions {
            self.act(host, action);
        }
    }

    fn act(&mut self, host: usize, action: FailoverAction) {
        match action {
            FailoverAction::Probe { instance } => self.ask(host, &instance, Ask::Status),
            FailoverAction::ShareSuspicion { term } => {
                let (name, domain) = self.name(host);
                self.tell(
                    host,
                    &FailoverEvent::SuspicionReceived {
                        host: name,
                        domain,
                        term,
                    },
                );
            }
            FailoverAction::ShareDoubt { term } => {
                self.tell(host, &FailoverEvent::DoubtReceived { term });
            }
            FailoverAction::ShareLiveness { term } => {
                let (name, domain) = self.name(host);
                self.tell(
                    host,
                    &FailoverEvent::LivenessReceived {
                        host: name,
                        domain,
                        term,
                    },
                );
            }
            FailoverAction::Announce { term, primary } => {
                self.tell(host, &FailoverEvent::Announced { term, primary });
            }
            FailoverAction::Record { term, nonce } => {
                let delay = self.random.between(1, 20);
                self.push(delay, Event::Record { host, term, nonce });
            }
            FailoverAction::Fence {
                instance,
                term,
                nonce,
            } => {
                self.ask(host, &instance, Ask::Fence { term, nonce });
            }
            FailoverAction::CatchUp {
                instance,
                from,
                position,
            } => {
                self.ask(host, &instance, Ask::CatchUp { from, position });
            }
            FailoverAction::Promote {
                instance,
                term,
                nonce,
            } => {
                self.ask(host, &instance, Ask::Promote { term, nonce });
            }
            FailoverAction::Follow {
                instance,
                primary,
                term,
            } => {
                self.ask(host, &instance, Ask::Follow { term, primary });
            }
        }
    }

    fn name(&self, host: usize) -> (HostId, DomainId) {
        (format!("h{host}").into(), self.hosts[host].domain.clone())
    }

    fn tell(&mut self, from: usize, event: &FailoverEvent) {
        for host in (0..3).filter(|host| *host != from) {
            let domains = (
                self.hosts[from].domain.clone(),
                self.hosts[host].domain.clone(),
            );
            for delay in self.deliveries(&domains.0, &domains.1) {
                let event = event.clone();
                self.push(delay, Event::Heard { host, event });
            }
        }
    }
}
