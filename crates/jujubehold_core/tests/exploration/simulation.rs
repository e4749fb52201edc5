//! A simulation of hosts, a group, a platform and callers under delay, loss, duplication and
//! faults.

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
use crate::message::{Event, Request};
use crate::random::Random;
use crate::support::config;

/// A time of the simulation, in milliseconds.
pub(crate) type SimTime = u64;

/// A bug in the product that the checks must find.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InjectedBug {
    None,
    FencingIgnored,
    FloorCheckIgnored,
    AtMostOnceIgnored,
}

pub(crate) struct Host {
    pub(crate) failover: Failover,
    pub(crate) domain: DomainId,
    pub(crate) offset: Duration,
    pub(crate) rate_percent: u64,
    pub(crate) frozen_until: SimTime,
}

impl Host {
    fn clock(&self, now: SimTime) -> Monotonic {
        // Clock rates differ from real time by at most two percent, within the authority's
        // allowance for drift.
        self.offset + Duration::from_micros(now * 10 * self.rate_percent)
    }
}

pub(crate) struct Simulation {
    pub(crate) injected_bug: InjectedBug,
    pub(crate) config: ServiceConfig,
    pub(crate) random: Random,
    pub(crate) now: SimTime,
    pub(crate) hosts: Vec<Host>,
    pub(crate) instances: BTreeMap<InstanceId, Instance>,
    pub(crate) callers: Callers,
    /// The time at which each term's primary was promoted.
    pub(crate) promoted_at: BTreeMap<Term, SimTime>,
    pub(crate) faults: Vec<String>,
    pub(crate) is_replication_stopped: bool,
    /// The events and actions of the first host, as a trace.
    pub(crate) trace: Vec<String>,
    pub(crate) queue: BTreeMap<(SimTime, u64), Event>,
    pub(crate) next_number: u64,
    pub(crate) completed_requests: BTreeSet<u64>,
    pub(crate) committed: BTreeSet<u64>,
    pub(crate) partitions: BTreeMap<(DomainId, DomainId), SimTime>,
    pub(crate) instance_frozen_until: BTreeMap<InstanceId, SimTime>,
    pub(crate) instance_restarts_at: BTreeMap<InstanceId, SimTime>,
    pub(crate) platform_available_at: SimTime,
    pub(crate) record: (Term, Nonce),
    pub(crate) faults_end_at: SimTime,
}

pub(crate) const DOMAINS: [&str; 3] = ["delta", "gulf", "piedmont"];

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        injected_bug: InjectedBug,
        confirm: Confirm,
        faults_end_at: SimTime,
    ) -> Self {
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
                frozen_until: 0,
            }
        });
        let trace = vec![
            group_line(&config, &watchers[0].host, &watchers[0].domain, seed),
            watchers_line(&watchers),
        ];
        let mut instances = BTreeMap::new();
        for (name, followed_primary) in [("a", None), ("b", Some("a")), ("c", Some("a"))] {
            let mut instance = Instance::new(name, followed_primary);
            instance.ignores_fence = injected_bug == InjectedBug::FencingIgnored;
            instances.insert(name.into(), instance);
        }
        let mut simulation = Self {
            injected_bug,
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
            completed_requests: BTreeSet::new(),
            committed: BTreeSet::new(),
            partitions: BTreeMap::new(),
            instance_frozen_until: BTreeMap::new(),
            instance_restarts_at: BTreeMap::new(),
            platform_available_at: 0,
            record: (1, 0),
            faults_end_at,
        };
        for host in 0..3 {
            simulation.push(host as u64, Event::Tick { host });
        }
        simulation.push(1, Event::Replicate);
        simulation.push(300, Event::CallerOperation);
        simulation.push(1000, Event::InjectFault);
        simulation
    }

    pub(crate) fn run(&mut self, until: SimTime) {
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

    pub(crate) fn push(&mut self, delay: SimTime, event: Event) {
        self.next_number += 1;
        self.queue
            .insert((self.now + delay, self.next_number), event);
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Tick { host } => {
                self.push(50, Event::Tick { host });
                if self.hosts[host].frozen_until <= self.now {
                    self.on_failover_event(host, FailoverEvent::Tick);
                    self.tick_callers(host);
                }
            }
            Event::RequestArrived {
                host,
                instance,
                request,
                sent_at,
                number,
            } => {
                self.on_request(host, instance, request, sent_at, number);
            }
            Event::ReplyArrived {
                host,
                instance,
                request,
                sent_at,
                number,
                reply,
            } => {
                let frozen_until = self.hosts[host].frozen_until;
                if frozen_until > self.now {
                    let delay = frozen_until - self.now;
                    self.push(
                        delay,
                        Event::ReplyArrived {
                            host,
                            instance,
                            request,
                            sent_at,
                            number,
                            reply,
                        },
                    );
                    return;
                }
                // A host ignores a reply after the timeout, and a duplicated one.
                if self.completed_requests.insert(number) {
                    self.on_reply(host, &instance, &request, sent_at, reply);
                }
            }
            Event::Notification { host, event } => {
                let frozen_until = self.hosts[host].frozen_until;
                if frozen_until > self.now {
                    self.push(frozen_until - self.now, Event::Notification { host, event });
                } else {
                    self.on_failover_event(host, event);
                }
            }
            Event::WriteRecord { host, term, nonce } => self.on_record(host, term, nonce),
            Event::Replicate => self.replicate(),
            Event::CallerOperation => {
                let delay = self.random.between(5, 60);
                self.push(delay, Event::CallerOperation);
                self.start_operation();
            }
            Event::InjectFault => {
                let delay = self.random.between(200, 2500);
                self.push(delay, Event::InjectFault);
                if self.now < self.faults_end_at {
                    self.inject_fault();
                }
            }
        }
    }

    pub(crate) fn on_failover_event(&mut self, host: usize, event: FailoverEvent) {
        let clock = self.clock(host);
        let line = event_line(clock, &event);
        let actions = self.hosts[host].failover.on_event(clock, event);
        if host == 0 {
            self.trace.push(line);
            self.trace.extend(actions.iter().filter_map(action_line));
        }
        for action in actions {
            self.execute_action(host, action);
        }
    }

    fn execute_action(&mut self, host: usize, action: FailoverAction) {
        match action {
            FailoverAction::Probe { instance } => self.send(host, &instance, Request::Status),
            FailoverAction::ShareSuspicion { term } => {
                let (name, domain) = self.name(host);
                self.notify_peers(
                    host,
                    &FailoverEvent::SuspicionReceived {
                        host: name,
                        domain,
                        term,
                    },
                );
            }
            FailoverAction::ShareDoubt { term } => {
                self.notify_peers(host, &FailoverEvent::DoubtReceived { term });
            }
            FailoverAction::ShareLiveness { term } => {
                let (name, domain) = self.name(host);
                self.notify_peers(
                    host,
                    &FailoverEvent::LivenessReceived {
                        host: name,
                        domain,
                        term,
                    },
                );
            }
            FailoverAction::Announce { term, primary } => {
                self.notify_peers(host, &FailoverEvent::Announced { term, primary });
            }
            FailoverAction::Record { term, nonce } => {
                let delay = self.random.between(1, 20);
                self.push(delay, Event::WriteRecord { host, term, nonce });
            }
            FailoverAction::Fence {
                instance,
                term,
                nonce,
            } => {
                self.send(host, &instance, Request::Fence { term, nonce });
            }
            FailoverAction::CatchUp {
                instance,
                from,
                position,
            } => {
                self.send(host, &instance, Request::CatchUp { from, position });
            }
            FailoverAction::Promote {
                instance,
                term,
                nonce,
            } => {
                self.send(host, &instance, Request::Promote { term, nonce });
            }
            FailoverAction::Follow {
                instance,
                primary,
                term,
            } => {
                self.send(host, &instance, Request::Follow { term, primary });
            }
        }
    }

    fn name(&self, host: usize) -> (HostId, DomainId) {
        (format!("h{host}").into(), self.hosts[host].domain.clone())
    }

    fn notify_peers(&mut self, from: usize, event: &FailoverEvent) {
        for host in (0..3).filter(|host| *host != from) {
            let domains = (
                self.hosts[from].domain.clone(),
                self.hosts[host].domain.clone(),
            );
            for delay in self.deliveries(&domains.0, &domains.1) {
                let event = event.clone();
                self.push(delay, Event::Notification { host, event });
            }
        }
    }
}
