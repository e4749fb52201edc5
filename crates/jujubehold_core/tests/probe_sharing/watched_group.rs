//! A group of three instances and its six watchers, in simulated time.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubehold_core::failover::{Failover, FailoverSettings};
use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::ownership::Watcher;
use jujubehold_core::prelude::*;

#[path = "../support/mod.rs"]
mod support;

use support::{config, ms, status};

/// The number of watchers: two in each of the group's three domains.
pub(crate) const WATCHER_COUNT: usize = 6;

const DOMAINS: [&str; 3] = ["delta", "gulf", "piedmont"];
const STEP_MS: u64 = 5;
const MESSAGE_DELAY_MS: u64 = 5;
const PROBE_TIMEOUT_MS: u64 = 300;

/// A fault of the primary.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Fault {
    /// It refuses connections.
    Crash,
    /// It accepts requests and never answers.
    Freeze,
    /// One watcher cannot reach it.
    CutOff { watcher: usize },
    /// The watchers of one failure domain cannot reach it.
    DomainCutOff { domain: usize },
}

/// The group and its watchers.
pub(crate) struct WatchedGroup {
    /// The current fault.
    pub(crate) fault: Option<Fault>,
    /// A watcher that has stopped doing anything.
    pub(crate) silent: Option<usize>,
    /// The watchers whose traffic uses the group.
    pub(crate) users: BTreeSet<usize>,
    /// The number of probes so far.
    pub(crate) probes: usize,
    /// The number of probes that the last watcher sent.
    pub(crate) last_watcher_probes: usize,
    /// When the first attempt started.
    pub(crate) attempt_at_ms: Option<u64>,
    watchers: Vec<Failover>,
    due_ms: Vec<u64>,
    probes_in_flight: BTreeSet<(usize, InstanceId)>,
    events: BTreeMap<(u64, u64), (usize, FailoverEvent)>,
    sequence: u64,
    now_ms: u64,
}

fn domain_of(watcher: usize) -> usize {
    watcher % DOMAINS.len()
}

impl WatchedGroup {
    /// Creates a group whose watchers know nothing yet.
    pub(crate) fn new() -> Self {
        let names: Vec<Watcher> = (0..WATCHER_COUNT)
            .map(|index| Watcher {
                host: format!("h{index}").into(),
                domain: DOMAINS[domain_of(index)].into(),
            })
            .collect();
        let watchers = names.iter().map(|own| {
            let settings = FailoverSettings::default();
            let (host, domain) = (own.host.clone(), own.domain.clone());
            let mut failover = Failover::new(settings, &config(), host, domain, 7);
            failover.set_watchers(names.clone());
            failover
        });
        Self {
            fault: None,
            silent: None,
            users: BTreeSet::new(),
            probes: 0,
            last_watcher_probes: 0,
            attempt_at_ms: None,
            watchers: watchers.collect(),
            // The watchers start at different times.
            due_ms: (0..WATCHER_COUNT as u64).map(|index| index * 35).collect(),
            probes_in_flight: BTreeSet::new(),
            events: BTreeMap::new(),
            sequence: 0,
            now_ms: 0,
        }
    }

    /// Advances the simulated time to `end_ms`.
    pub(crate) fn run_until(&mut self, end_ms: u64) {
        while self.now_ms < end_ms {
            self.now_ms += STEP_MS;
            while let Some(entry) = self.events.first_entry()
                && entry.key().0 <= self.now_ms
            {
                let (watcher, event) = entry.remove();
                if let FailoverEvent::Probed { instance, .. } = &event {
                    self.probes_in_flight.remove(&(watcher, instance.clone()));
                }
                self.deliver(watcher, event);
            }
            for watcher in 0..WATCHER_COUNT {
                if self.due_ms[watcher] <= self.now_ms {
                    self.deliver(watcher, FailoverEvent::Tick);
                }
            }
        }
    }

    fn deliver(&mut self, watcher: usize, event: FailoverEvent) {
        if self.silent == Some(watcher) {
            return;
        }
        let now = ms(self.now_ms);
        if self.users.contains(&watcher) {
            self.watchers[watcher].note_traffic(now);
        }
        let actions = self.watchers[watcher].on_event(now, event);
        let due = self.watchers[watcher].next_wakeup();
        self.due_ms[watcher] = millis(due).max(self.now_ms + STEP_MS);
        for action in actions {
            self.run_action(watcher, action);
        }
    }

    fn run_action(&mut self, watcher: usize, action: FailoverAction) {
        let host: HostId = format!("h{watcher}").into();
        let domain: DomainId = DOMAINS[domain_of(watcher)].into();
        match action {
            FailoverAction::Probe { instance } => self.send_probe(watcher, &instance),
            FailoverAction::ShareSuspicion { term } => {
                self.broadcast(
                    watcher,
                    &FailoverEvent::SuspicionReceived { host, domain, term },
                );
            }
            FailoverAction::ShareLiveness { term } => {
                self.broadcast(
                    watcher,
                    &FailoverEvent::LivenessReceived { host, domain, term },
                );
            }
            FailoverAction::ShareDoubt { term } => {
                self.broadcast(watcher, &FailoverEvent::DoubtReceived { term });
            }
            FailoverAction::Record { .. } => {
                self.attempt_at_ms.get_or_insert(self.now_ms);
            }
            FailoverAction::Fence { .. }
            | FailoverAction::CatchUp { .. }
            | FailoverAction::Promote { .. }
            | FailoverAction::Follow { .. }
            | FailoverAction::Announce { .. } => {}
        }
    }

    // Each watcher has at most one probe in flight to each instance.
    fn send_probe(&mut self, watcher: usize, instance: &InstanceId) {
        if !self.probes_in_flight.insert((watcher, instance.clone())) {
            return;
        }
        self.probes += 1;
        self.last_watcher_probes += usize::from(watcher == WATCHER_COUNT - 1);
        let role = if instance == "a" {
            "primary"
        } else {
            "replica"
        };
        let answer = Some(status(instance, role, 1, 10, "1:0"));
        let fault = self.fault.filter(|_| instance == "a");
        let (delay_ms, status) = match fault {
            Some(Fault::Crash) => (MESSAGE_DELAY_MS, None),
            Some(Fault::Freeze) => (PROBE_TIMEOUT_MS, None),
            Some(Fault::CutOff { watcher: cut }) if cut == watcher => (PROBE_TIMEOUT_MS, None),
            Some(Fault::DomainCutOff { domain }) if domain == domain_of(watcher) => {
                (PROBE_TIMEOUT_MS, None)
            }
            Some(Fault::CutOff { .. } | Fault::DomainCutOff { .. }) | None => {
                (MESSAGE_DELAY_MS, answer)
            }
        };
        let event = FailoverEvent::Probed {
            instance: instance.clone(),
            sent_at: ms(self.now_ms),
            status,
        };
        self.push(watcher, delay_ms, event);
    }

    fn broadcast(&mut self, from: usize, event: &FailoverEvent) {
        for watcher in (0..WATCHER_COUNT).filter(|watcher| *watcher != from) {
            self.push(watcher, MESSAGE_DELAY_MS, event.clone());
        }
    }

    fn push(&mut self, watcher: usize, delay_ms: u64, event: FailoverEvent) {
        self.sequence += 1;
        let key = (self.now_ms + delay_ms, self.sequence);
        self.events.insert(key, (watcher, event));
    }
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
