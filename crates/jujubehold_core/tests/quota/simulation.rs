//! Hosts that share the quotas of customers, over an unreliable network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use jujubehold_core::long_lived::ListedProcesses;
use jujubehold_core::prelude::*;
use jujubehold_core::quota::{
    NameRecord, QuotaAction, QuotaBound, QuotaHost, QuotaLimit, ShareAction, ShareAnswer,
    ShareRelease, ShareRequest, TokenAnswer, TokenRequest, min_process_age,
};
use jujubehold_core::store_version::Revision;

use super::host::{Listing, SimulatedHost};
use super::random::Random;

const TICK: Duration = Duration::from_millis(5);
const READ_INTERVAL: Duration = Duration::from_millis(800);
const LEASE: Duration = Duration::from_secs(3);
/// How long after a host left the list its name is removed.
const FORGET_DELAY: Duration = Duration::from_secs(30);
/// How long after its start a host accepts callers: it needs its configuration and a proof first.
const READY_DELAY: Duration = Duration::from_millis(300);
/// How long an operation waits for a token.
const WAIT: Duration = Duration::from_millis(240);

#[derive(Clone)]
enum Message {
    Request(TokenRequest),
    Answer(u64, TokenAnswer),
    ShareRequest(ShareRequest),
    ShareAnswer(ShareAnswer),
    ShareRelease(ShareRelease),
    Read(Listing),
    /// The confirmation that the host's name was recorded.
    Recorded(Duration, NameRecord),
}

#[derive(Clone)]
struct Datagram {
    from: usize,
    to: usize,
    customer: CustomerId,
    message: Message,
}

/// The faults of the network.
pub(crate) struct Faults {
    pub(crate) loss_per_2000: u64,
    pub(crate) duplicates_per_2000: u64,
    pub(crate) max_delay_ms: u64,
    pub(crate) lost_reads_percent: u64,
}

/// The counts of one customer.
#[derive(Default)]
pub(crate) struct Counts {
    pub(crate) admitted_at: Vec<Duration>,
    pub(crate) refused: BTreeMap<RefusalReason, u64>,
    pub(crate) refused_at: Vec<Duration>,
}

pub(crate) struct Simulation {
    pub(crate) now: Duration,
    pub(crate) random: Random,
    pub(crate) hosts: Vec<SimulatedHost>,
    pub(crate) counts: BTreeMap<CustomerId, Counts>,
    pub(crate) limits: BTreeMap<CustomerId, QuotaLimit>,
    pub(crate) cut_links: BTreeSet<(usize, usize)>,
    /// The hosts that are cut off from the store.
    pub(crate) cut_from_store: BTreeSet<usize>,
    /// When the store is available again to all.
    pub(crate) store_available_at: Duration,
    pub(crate) faults: Faults,
    pub(crate) requests: u64,
    pub(crate) store: BTreeMap<HostId, QuotaHost>,
    /// The recorded names, and whether each is settled.
    pub(crate) names: BTreeMap<HostId, NameRecord>,
    leases: BTreeMap<HostId, Duration>,
    listed_at: BTreeMap<HostId, Duration>,
    /// The process that wrote each entry.
    entry_processes: BTreeMap<HostId, Nonce>,
    listed_processes: ListedProcesses,
    long_lived: BTreeMap<HostId, Nonce>,
    domain_count: usize,
    last_revision: Revision,
    last_id: u64,
    in_flight: BTreeMap<(Duration, u64), Datagram>,
}

impl Simulation {
    pub(crate) fn new(
        seed: u64,
        (host_count, domain_count): (usize, usize),
        limits: BTreeMap<CustomerId, QuotaLimit>,
        faults: Faults,
    ) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            random: Random::new(seed),
            hosts: Vec::new(),
            counts: BTreeMap::new(),
            limits,
            cut_links: BTreeSet::new(),
            cut_from_store: BTreeSet::new(),
            store_available_at: Duration::ZERO,
            faults,
            requests: 0,
            store: BTreeMap::new(),
            names: BTreeMap::new(),
            leases: BTreeMap::new(),
            listed_at: BTreeMap::new(),
            entry_processes: BTreeMap::new(),
            listed_processes: ListedProcesses::default(),
            long_lived: BTreeMap::new(),
            domain_count,
            last_revision: 0,
            last_id: 0,
            in_flight: BTreeMap::new(),
        };
        for index in 0..host_count {
            let host = simulation.new_host(index, format!("host-{index}").into());
            simulation.hosts.push(host);
        }
        simulation
    }

    fn new_host(&mut self, index: usize, name: HostId) -> SimulatedHost {
        self.last_id += 1;
        let domain = DomainId::from(format!("domain-{}", index % self.domain_count));
        SimulatedHost::new(name, domain, self.now, self.last_id, &self.limits)
    }

    /// Lets an operation of `customer` arrive at `host`.
    pub(crate) fn arrive(&mut self, host: usize, customer: &CustomerId) {
        if !self.hosts[host].runs(self.now) {
            return;
        }
        self.last_id += 1;
        let id = self.last_id;
        let host = &mut self.hosts[host];
        let give_up_at = host.local(self.now) + WAIT;
        let tokens = host.tokens.entry(customer.clone()).or_default();
        tokens.wait(id, give_up_at);
    }

    /// Lets `rate_per_s` operations per second arrive at random hosts that have run for
    /// `READY_DELAY`, during one tick.
    pub(crate) fn arrive_at_random(&mut self, rate_per_s: u64, customer: &CustomerId) {
        let per_tick_in_1000s = rate_per_s * 5;
        let extra = self.random.below(1_000) < per_tick_in_1000s % 1_000;
        for _ in 0..per_tick_in_1000s / 1_000 + u64::from(extra) {
            let host = usize::try_from(self.random.below(self.hosts.len() as u64)).unwrap_or(0);
            if self.hosts[host].local(self.now) >= READY_DELAY {
                self.arrive(host, customer);
            }
        }
    }

    pub(crate) fn tick(&mut self) {
        self.now += TICK;
        self.expire_leases();
        self.deliver();
        for index in 0..self.hosts.len() {
            if self.hosts[index].runs(self.now) {
                self.use_store(index);
                self.step_shares(index);
                self.step(index);
            }
        }
    }

    pub(crate) fn restart(&mut self, index: usize) {
        let name = self.hosts[index].name.clone();
        self.hosts[index] = self.new_host(index, name);
    }

    /// Starts a host of another name in the place of one that is gone for good.
    pub(crate) fn replace(&mut self, index: usize) {
        let name = format!("host-{index}-{}", self.last_id);
        self.hosts[index] = self.new_host(index, name.into());
    }

    pub(crate) fn leave(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        host.is_leaving = true;
        let name = host.name.clone();
        host.hosts.note_leaving(&name);
        host.step_at = Monotonic::ZERO;
    }

    pub(crate) fn end(&mut self, index: usize) {
        self.hosts[index].is_up = false;
        if self.hosts[index].is_leaving && self.is_store_available() {
            let name = self.hosts[index].name.clone();
            self.store.remove(&name);
        }
    }

    fn is_store_available(&self) -> bool {
        self.now >= self.store_available_at
    }

    fn expire_leases(&mut self) {
        if !self.is_store_available() {
            return;
        }
        let (now, leases) = (self.now, &self.leases);
        self.store
            .retain(|host, _| leases.get(host).is_some_and(|until| now < *until));
        for host in self.store.keys() {
            self.listed_at.insert(host.clone(), now);
        }
        self.note_long_lived();
        let listed_at = &self.listed_at;
        self.names.retain(|host, _| {
            let listed_at = listed_at.get(host);
            listed_at.is_none_or(|at| now < *at + FORGET_DELAY)
        });
    }

    fn note_long_lived(&mut self) {
        let min_age = min_process_age(&QuotaBound::default());
        let listed = self.store.keys();
        let listed = listed.map(|host| (host.clone(), self.entry_processes[host]));
        self.listed_processes.note_listed(self.now, listed);
        let record = self
            .listed_processes
            .record(self.now, min_age, &self.long_lived);
        self.long_lived = record.unwrap_or(std::mem::take(&mut self.long_lived));
    }

    // Renews the host's lease, writes what is due and reads the list. The known list is as of the
    // time at which the read reaches the store.
    fn use_store(&mut self, index: usize) {
        let is_store_available = self.is_store_available() && !self.cut_from_store.contains(&index);
        let now = self.now;
        let host = &mut self.hosts[index];
        if now < host.next_read_at {
            return;
        }
        host.next_read_at = now + READ_INTERVAL;
        if !is_store_available {
            return;
        }
        let name = host.name.clone();
        self.leases.insert(name.clone(), now + LEASE);
        // A restarted host writes its entry anew, and so does one whose entry is gone.
        if !self.store.contains_key(&name) || !host.has_joined {
            self.last_revision += 1;
            if !host.has_joined {
                let is_listed = self.store.contains_key(&name);
                let earlier = self.entry_processes.get(&name).copied();
                host.earlier_process = earlier.filter(|_| is_listed);
            }
            let entry = QuotaHost {
                domain: host.domain.clone(),
                revision: self.last_revision,
            };
            self.store.insert(name.clone(), entry);
            self.entry_processes.insert(name.clone(), host.process);
            if host.is_first_start() && !host.has_joined {
                self.names.insert(name.clone(), NameRecord::Settled);
                let local = host.local(now);
                host.shares.own.note_first_listing(local);
            }
            host.has_joined = true;
        }
        let local = host.local(now);
        if let Some(record) = host.shares.own.record_to_write(local) {
            self.names.insert(name.clone(), record);
            self.answer_store_call(index, Message::Recorded(now, record));
        }
        let listing = Listing {
            sent_at: now,
            hosts: self.store.clone(),
            name_count: u32::try_from(self.names.len()).unwrap_or(u32::MAX),
            long_lived: self.long_lived.clone(),
            own_record: self.names.get(&name).copied().unwrap_or(NameRecord::Absent),
        };
        self.answer_store_call(index, Message::Read(listing));
    }

    fn answer_store_call(&mut self, index: usize, answer: Message) {
        // A lost read leaves the host with an older list.
        if !self.random.percent(self.faults.lost_reads_percent) {
            let delay = Duration::from_millis(self.random.between(1, 300));
            self.put(index, index, &CustomerId::default(), answer, delay);
        }
    }

    fn step_shares(&mut self, index: usize) {
        let host = &mut self.hosts[index];
        let local = host.local(self.now);
        if local < host.step_at {
            return;
        }
        let actions = host.shares.step(local, &host.hosts, host.is_leaving);
        host.step_at = host.shares.wake_at(local);
        let peers: Vec<_> = host.hosts.domain_peers().cloned().collect();
        for action in actions {
            let message = match action {
                ShareAction::Request(request) => Message::ShareRequest(request),
                ShareAction::Release(release) => Message::ShareRelease(release),
            };
            for peer in &peers {
                self.send(index, peer, &CustomerId::default(), &message);
            }
        }
    }

    fn step(&mut self, index: usize) {
        let customers: Vec<_> = self.hosts[index].tokens.keys().cloned().collect();
        for customer in customers {
            for round in 0.. {
                assert!(round < 10, "a host answers itself without end");
                let actions = self.hosts[index].step_tokens(self.now, &customer);
                if !self.act(index, &customer, actions) {
                    break;
                }
            }
        }
    }

    // Returns whether the host answered a request of its own.
    fn act(&mut self, index: usize, customer: &CustomerId, actions: Vec<QuotaAction>) -> bool {
        let mut is_answered = false;
        for action in actions {
            match action {
                QuotaAction::Admit { .. } => {
                    let counts = self.counts.entry(customer.clone()).or_default();
                    counts.admitted_at.push(self.now);
                }
                QuotaAction::Refuse { reason, .. } => {
                    let counts = self.counts.entry(customer.clone()).or_default();
                    *counts.refused.entry(reason).or_default() += 1;
                    counts.refused_at.push(self.now);
                }
                QuotaAction::Request { to, request } if to == self.hosts[index].name => {
                    let now = self.now;
                    let host = &mut self.hosts[index];
                    let answer = host.answer_tokens(now, customer, &request);
                    host.note_tokens(now, customer, (request.number, &to), answer);
                    is_answered = true;
                }
                QuotaAction::Request { to, request } => {
                    self.requests += 1;
                    self.send(index, &to, customer, &Message::Request(request));
                }
            }
        }
        is_answered
    }

    fn send(&mut self, from: usize, to: &HostId, customer: &CustomerId, message: &Message) {
        let Some(to) = self.hosts.iter().position(|host| host.name == *to) else {
            return;
        };
        if self.cut_links.contains(&(from.min(to), from.max(to)))
            || self.random.below(2_000) < self.faults.loss_per_2000
        {
            return;
        }
        let is_duplicate = self.random.below(2_000) < self.faults.duplicates_per_2000;
        for copy in 0..=u64::from(is_duplicate) {
            let limit = self.faults.max_delay_ms * (1 + copy * 10);
            let delay = Duration::from_millis(self.random.below(limit.max(1)));
            self.put(from, to, customer, message.clone(), delay);
        }
    }

    fn put(
        &mut self,
        from: usize,
        to: usize,
        customer: &CustomerId,
        message: Message,
        delay: Duration,
    ) {
        self.last_id += 1;
        let datagram = Datagram {
            from,
            to,
            customer: customer.clone(),
            message,
        };
        self.in_flight
            .insert((self.now + delay, self.last_id), datagram);
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry()
            && entry.key().0 <= self.now
        {
            let (key, datagram) = entry.remove_entry();
            let receiver = &self.hosts[datagram.to];
            if receiver.is_up && self.now < receiver.frozen_until {
                // A frozen host receives it when it runs again.
                let at = receiver.frozen_until;
                self.in_flight.insert((at, key.1), datagram);
            } else if receiver.is_up {
                self.receive(datagram);
            }
        }
    }

    fn receive(&mut self, datagram: Datagram) {
        let Datagram {
            from,
            to,
            customer,
            message,
        } = datagram;
        let sender = self.hosts[from].name.clone();
        let now = self.now;
        let host = &mut self.hosts[to];
        let local = host.local(now);
        match message {
            Message::Request(request) => {
                let answer = host.answer_tokens(now, &customer, &request);
                let message = Message::Answer(request.number, answer);
                self.send(to, &sender, &customer, &message);
            }
            Message::Answer(number, answer) => {
                host.note_tokens(now, &customer, (number, &sender), answer);
            }
            Message::ShareRequest(request) => {
                let answer = host.shares.answer_request(local, &sender, &request);
                self.send(to, &sender, &customer, &Message::ShareAnswer(answer));
            }
            Message::ShareAnswer(answer) => {
                host.shares.note_answer(local, &sender, &answer);
                host.step_at = host.shares.wake_at(local);
            }
            Message::ShareRelease(release) => {
                if release.is_leaving {
                    host.hosts.note_leaving(&sender);
                }
                host.shares.note_release(local, &sender, &release);
            }
            // The answer to a call of an earlier process of the host is lost with it.
            Message::Read(listing) => {
                if listing.sent_at >= host.started_at {
                    host.apply_listing(now, &listing);
                }
            }
            Message::Recorded(sent_at, record) => {
                if sent_at >= host.started_at {
                    host.shares.own.note_written(local, record);
                }
            }
        }
    }
}

/// Returns the largest number of operations in a window, and the time at which the window begins.
pub(crate) fn largest_window(admitted_at: &[Duration], since: Duration) -> (u64, Duration) {
    let window = QuotaBound::default().window;
    let mut largest = (0, Duration::ZERO);
    let mut first = 0;
    for (last, at) in admitted_at.iter().enumerate() {
        while admitted_at[first] + window <= *at || admitted_at[first] < since {
            if first == last {
                break;
            }
            first += 1;
        }
        let count = (last - first + 1) as u64;
        if admitted_at[first] >= since && count > largest.0 {
            largest = (count, admitted_at[first]);
        }
    }
    largest
}
