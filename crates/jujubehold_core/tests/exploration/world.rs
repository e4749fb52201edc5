//! Hosts, a group, a platform and callers, under delay, loss, doubling and faults.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubehold_core::failover::{Failover, FailoverSettings};
use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::{FailoverEvent, RecordOutcome};
use jujubehold_core::ownership::Watcher;
use jujubehold_core::prelude::*;

use crate::callers::Callers;
use crate::instance::{CommitAnswer, Instance};
use crate::message::{Answer, Ask, Event};
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
    domain: DomainId,
    offset: Duration,
    rate_percent: u64,
    asleep_until: At,
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
    queue: BTreeMap<(At, u64), Event>,
    next_number: u64,
    answered: BTreeSet<u64>,
    committed: BTreeSet<u64>,
    cuts: BTreeMap<(DomainId, DomainId), At>,
    instance_wakes_at: BTreeMap<InstanceId, At>,
    instance_returns_at: BTreeMap<InstanceId, At>,
    platform_back_at: At,
    record: (Term, Nonce),
    calm_from: At,
}

const DOMAINS: [&str; 3] = ["delta", "gulf", "piedmont"];

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

    fn push(&mut self, delay: At, event: Event) {
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
        for action in self.hosts[host].failover.on_event(clock, event) {
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
                    &FailoverEvent::SuspicionHeard {
                        host: name,
                        domain,
                        term,
                    },
                );
            }
            FailoverAction::ShareLiveness { term } => {
                let (name, domain) = self.name(host);
                self.tell(
                    host,
                    &FailoverEvent::LivenessHeard {
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

    /// When the copies of a message arrive: none when it is lost, two when it is doubled.
    fn deliveries(&mut self, from: &DomainId, to: &DomainId) -> Vec<At> {
        if self.is_cut(from, to) || self.random.percent(3) {
            return Vec::new();
        }
        let copies = if self.random.percent(3) { 2 } else { 1 };
        (0..copies)
            .map(|_| {
                if self.random.percent(2) {
                    self.random.between(100, 1500)
                } else {
                    self.random.between(1, 15)
                }
            })
            .collect()
    }

    fn is_cut(&self, from: &DomainId, to: &DomainId) -> bool {
        let is_cut =
            |key: (DomainId, DomainId)| self.cuts.get(&key).is_some_and(|until| *until > self.now);
        is_cut((from.clone(), to.clone())) || is_cut((to.clone(), from.clone()))
    }

    pub(crate) fn ask(&mut self, host: usize, instance: &InstanceId, ask: Ask) {
        self.next_number += 1;
        let number = self.next_number;
        let asked_at = self.clock(host);
        let domain = self.hosts[host].domain.clone();
        let instance_domain = self.config.instances[instance].domain.clone();
        let instance = instance.clone();
        for delay in self.deliveries(&domain, &instance_domain) {
            let (instance, ask) = (instance.clone(), ask.clone());
            self.push(
                delay,
                Event::Asked {
                    host,
                    instance,
                    ask,
                    asked_at,
                    number,
                },
            );
        }
        self.push(
            300,
            Event::Answered {
                host,
                instance,
                ask,
                asked_at,
                number,
                answer: None,
            },
        );
    }

    fn on_asked(
        &mut self,
        host: usize,
        instance: InstanceId,
        ask: Ask,
        asked_at: Monotonic,
        number: u64,
    ) {
        let wakes_at = self.instance_wakes_at.get(&instance).copied().unwrap_or(0);
        if wakes_at > self.now {
            // A frozen instance takes what waits for it when it wakes.
            let delay = wakes_at - self.now;
            self.push(
                delay,
                Event::Asked {
                    host,
                    instance,
                    ask,
                    asked_at,
                    number,
                },
            );
            return;
        }
        if self.instances[&instance].is_down {
            return;
        }
        // A connection delivers a statement once: TCP and the forwarding stream number what they
        // carry. Questions, which may be asked twice, are doubled here all the same.
        if matches!(ask, Ask::Commit { .. }) && !self.committed.insert(number) {
            return;
        }
        let answer = self.execute(&instance, &ask);
        let mut status = self.instances[&instance].status();
        if !matches!(
            ask,
            Ask::Fence { .. } | Ask::Promote { .. } | Ask::CatchUp { .. }
        ) {
            status = self.instances[&instance].shown_status();
        }
        let from = self.config.instances[&instance].domain.clone();
        let to = self.hosts[host].domain.clone();
        for delay in self.deliveries(&from, &to) {
            let (instance, ask) = (instance.clone(), ask.clone());
            let answer = Some((status.clone(), answer.clone()));
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
        }
    }

    fn execute(&mut self, name: &InstanceId, ask: &Ask) -> Answer {
        let now = self.now;
        if let Ask::CatchUp { from, position } = ask {
            let source = self.instances[from].clone();
            let domain = |name| &self.config.instances[name].domain;
            let is_reachable = !source.is_down && !self.is_cut(domain(name), domain(from));
            if is_reachable && let Some(instance) = self.instances.get_mut(name) {
                instance.catch_up(&source, *position);
            }
            return Answer::Status;
        }
        let instance = self.instances.get_mut(name).expect("it was asked");
        match ask {
            Ask::Status | Ask::Confirm { .. } | Ask::ProveAgain { .. } | Ask::CatchUp { .. } => {
                Answer::Status
            }
            Ask::Fence { term, nonce } => {
                instance.fence(*term, *nonce);
                Answer::Status
            }
            Ask::Promote { term, nonce } => {
                if instance.promote(*term, *nonce) {
                    let promoted = instance.clone();
                    let earlier = self.promoted_at.insert(*term, now);
                    assert!(earlier.is_none(), "two primaries of term {term}");
                    self.callers.check_promoted(&promoted, &self.config);
                }
                Answer::Status
            }
            Ask::Follow { term, primary } => {
                instance.follow(*term, primary);
                Answer::Status
            }
            Ask::Commit {
                write, has_record, ..
            } => match instance.commit(*write, *has_record) {
                CommitAnswer::Committed => Answer::Committed,
                CommitAnswer::AlreadyRan => Answer::AlreadyRan,
                CommitAnswer::Refused => Answer::Refused,
            },
            Ask::Lookup { write, .. } => {
                if instance.role == Role::Primary {
                    Answer::Found(instance.has(*write))
                } else {
                    Answer::Refused
                }
            }
            Ask::Read { .. } => {
                let data = instance.readable().iter().map(|entry| entry.write);
                Answer::Data(data.collect())
            }
        }
    }

    fn on_answered(
        &mut self,
        host: usize,
        instance: &InstanceId,
        ask: &Ask,
        asked_at: Monotonic,
        answer: Option<(InstanceStatus, Answer)>,
    ) {
        let status = answer.as_ref().map(|(status, _)| status.clone());
        let instance = instance.clone();
        match ask.clone() {
            Ask::Status | Ask::Follow { .. } => {
                let event = FailoverEvent::Probed {
                    instance,
                    sent_at: asked_at,
                    status,
                };
                self.feed(host, event);
            }
            Ask::Fence { term, nonce } => {
                self.feed(
                    host,
                    FailoverEvent::Fenced {
                        instance,
                        term,
                        nonce,
                        status,
                    },
                );
            }
            Ask::Promote { term, .. } => {
                self.feed(
                    host,
                    FailoverEvent::Promoted {
                        instance,
                        term,
                        status,
                    },
                );
            }
            Ask::CatchUp { .. } => {
                self.feed(host, FailoverEvent::CaughtUp { instance, status });
            }
            Ask::Confirm { .. }
            | Ask::ProveAgain { .. }
            | Ask::Commit { .. }
            | Ask::Lookup { .. }
            | Ask::Read { .. } => self.on_caller_answer(host, &instance, ask, asked_at, answer),
        }
    }

    fn on_record(&mut self, host: usize, term: Term, nonce: Nonce) {
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

    fn replicate(&mut self) {
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
            let is_slow = self.random.percent(30);
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

    fn fail(&mut self) {
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
                let event = FailoverEvent::ChangeOrdered {
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
