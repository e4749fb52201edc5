//! Tests that the hosts of a failure domain learn of each other's states at a constant cost per
//! host.

use std::collections::{BTreeMap, BTreeSet};
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jujubehold_core::membership::{
    Datagram, Member, MemberState, Membership, MembershipAction, MembershipEvent,
    MembershipSettings,
};

const STEP_MS: u64 = 10;

fn address(number: u16) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::LOCALHOST, 7000 + number))
}

fn own(number: u16, incarnation: u64) -> Member {
    Member {
        host: format!("h{number}").into(),
        domain: "delta".into(),
        region: "south".into(),
        peer_address: address(number),
        incarnation,
        state: MemberState::Alive,
    }
}

/// A simulated failure domain whose datagrams arrive one step later, unless the sender or the
/// receiver is unreachable.
struct Domain {
    hosts: BTreeMap<u16, Membership>,
    in_flight: Vec<(SocketAddr, SocketAddr, String)>,
    unreachable: BTreeSet<u16>,
    now_ms: u64,
    sent: usize,
    sent_bytes: usize,
    largest_bytes: usize,
}

impl Domain {
    fn new(count: u16) -> Self {
        let hosts = (0..count).map(|number| (number, Self::host(number, 1)));
        Self {
            hosts: hosts.collect(),
            in_flight: Vec::new(),
            unreachable: BTreeSet::new(),
            now_ms: 0,
            sent: 0,
            sent_bytes: 0,
            largest_bytes: 0,
        }
    }

    fn host(number: u16, incarnation: u64) -> Membership {
        let settings = MembershipSettings::default();
        let seeds = vec![address(0), address(1)];
        Membership::new(settings, own(number, incarnation), seeds, u64::from(number))
    }

    fn now(&self) -> Duration {
        Duration::from_millis(self.now_ms)
    }

    fn run(&mut self, duration_ms: u64) {
        for _ in 0..duration_ms / STEP_MS {
            self.now_ms += STEP_MS;
            for (from, to, text) in std::mem::take(&mut self.in_flight) {
                let number = to.port() - 7000;
                let datagram = Datagram::parse(&text).expect("sent datagrams are well formed");
                self.on_event(number, MembershipEvent::Datagram { from, datagram });
            }
            // Like in the daemon, a host ticks only when a tick is due.
            let now = self.now();
            let due = self
                .hosts
                .iter()
                .filter(|(_, host)| host.next_wakeup() <= now);
            let numbers: Vec<_> = due.map(|(number, _)| *number).collect();
            for number in numbers {
                self.on_event(number, MembershipEvent::Tick);
            }
        }
    }

    fn on_event(&mut self, number: u16, event: MembershipEvent) {
        let now = self.now();
        if self.unreachable.contains(&number) {
            return;
        }
        let Some(host) = self.hosts.get_mut(&number) else {
            return;
        };
        let actions = host.on_event(now, event);
        let known: Vec<_> = host.members().cloned().collect();
        for action in actions {
            match action {
                MembershipAction::Send { to, datagram } => {
                    let text = datagram.to_string();
                    self.sent += 1;
                    self.sent_bytes += text.len();
                    self.largest_bytes = self.largest_bytes.max(text.len());
                    self.in_flight.push((address(number), to, text));
                }
                MembershipAction::Exchange { with } => {
                    let partner = with.port() - 7000;
                    if partner == number || self.unreachable.contains(&partner) {
                        continue;
                    }
                    let Some(host) = self.hosts.get_mut(&partner) else {
                        continue;
                    };
                    let theirs: Vec<_> = host.members().cloned().collect();
                    let hosts = known.clone();
                    host.on_event(now, MembershipEvent::PeerStateReceived { hosts });
                    let exchanged = MembershipEvent::PeerStateReceived { hosts: theirs };
                    self.on_event(number, exchanged);
                }
                MembershipAction::Changed { .. } => {}
            }
        }
    }

    fn live_at(&self, number: u16) -> usize {
        self.hosts[&number]
            .live_hosts()
            .get("delta")
            .map_or(0, BTreeSet::len)
    }

    fn state_at(&self, number: u16, host: &str) -> Option<MemberState> {
        self.hosts[&number].member(host).map(|member| member.state)
    }
}

#[test]
fn hosts_that_know_only_seeds_discover_all_others() {
    let mut domain = Domain::new(20);
    domain.run(60_000);
    for number in 0..20 {
        assert_eq!(domain.live_at(number), 20, "h{number}");
    }
}

#[test]
fn the_datagrams_of_a_host_do_not_grow_with_the_domain() {
    let per_host = |count: u16| {
        let mut domain = Domain::new(count);
        domain.run(40_000);
        domain.sent = 0;
        domain.run(10_000);
        assert!(domain.largest_bytes < 1200, "{}", domain.largest_bytes);
        domain.sent / usize::from(count)
    };
    let (few, many) = (per_host(6), per_host(30));
    println!("datagrams sent in 10 s by each of 6 hosts {few}, of 30 hosts {many}");
    assert!(many <= few + few / 4, "{few} then {many}");
}

#[test]
fn hosts_that_start_together_learn_of_each_other_and_then_send_little() {
    // The rates of each host in bytes a second: from 4 s to 12 s after the start, and long after
    // it.
    let per_host = |count: u16| {
        let mut domain = Domain::new(count);
        domain.run(4_000);
        let mut rate = |duration_ms: u64| {
            domain.sent_bytes = 0;
            domain.run(duration_ms);
            domain.sent_bytes * 1000 / usize::try_from(duration_ms).unwrap() / usize::from(count)
        };
        let early = rate(8_000);
        rate(90_000);
        (early, rate(10_000))
    };
    let (_, few) = per_host(6);
    for count in [12, 24, 36, 92] {
        let (early, late) = per_host(count);
        println!("{count} hosts: {early} bytes/s each after the start, {late} bytes/s at rest");
        assert!(late <= few + few / 4, "{count}: {late}, of 6 hosts {few}");
        assert!(early < 6_000, "{count}: {early}");
    }
}

#[test]
fn a_lost_host_is_found_dead_and_a_leaving_host_is_announced_at_once() {
    let mut domain = Domain::new(8);
    domain.run(60_000);
    domain.on_event(3, MembershipEvent::Leave);
    domain.run(200);
    for number in [0, 1, 2, 4, 5, 6, 7] {
        let state = domain.state_at(number, "h3");
        assert_eq!(state, Some(MemberState::Leaving), "h{number}");
    }
    domain.hosts.remove(&5);
    domain.run(12_000);
    for number in [0, 1, 2, 4, 6, 7] {
        let state = domain.state_at(number, "h5");
        assert_eq!(state, Some(MemberState::Dead), "h{number}");
    }
}

#[test]
fn a_host_that_was_unreachable_refutes_and_rejoins() {
    let mut domain = Domain::new(6);
    domain.run(30_000);
    domain.unreachable.insert(4);
    domain.run(15_000);
    assert_eq!(domain.live_at(0), 5);
    domain.unreachable.clear();
    domain.run(30_000);
    for number in 0..6 {
        assert_eq!(domain.live_at(number), 6, "h{number}");
    }
}

#[test]
fn a_host_restarted_under_its_old_name_counts_as_alive() {
    let mut domain = Domain::new(5);
    domain.run(30_000);
    domain.hosts.remove(&2);
    domain.run(10_000);
    assert_eq!(domain.live_at(0), 4);
    domain.hosts.insert(2, Domain::host(2, 9));
    domain.run(20_000);
    assert_eq!(domain.live_at(0), 5);
    assert_eq!(domain.live_at(2), 5);
}

#[test]
fn a_listed_state_does_not_supersede_the_hosts_own() {
    let mut domain = Domain::new(3);
    domain.run(20_000);
    let mut listed = own(1, 0);
    listed.state = MemberState::Leaving;
    let hosts = vec![listed, own(9, 0)];
    domain.on_event(0, MembershipEvent::PlatformListRead { hosts });
    assert_eq!(domain.state_at(0, "h1"), Some(MemberState::Alive));
    assert_eq!(domain.state_at(0, "h2"), Some(MemberState::Alive));
    assert_eq!(domain.state_at(0, "h9"), Some(MemberState::Alive));
    domain.run(10_000);
    assert_eq!(domain.state_at(0, "h9"), Some(MemberState::Dead));
}

#[test]
fn a_host_that_was_paused_suspects_no_one_for_missed_datagrams() {
    let mut domain = Domain::new(4);
    domain.run(20_000);
    for _ in 0..10 {
        domain.unreachable.insert(2);
        domain.run(1500);
        domain.unreachable.clear();
        domain.on_event(2, MembershipEvent::Tick);
        for host in ["h0", "h1", "h3"] {
            let state = domain.state_at(2, host);
            assert_eq!(state, Some(MemberState::Alive), "{host}");
        }
        domain.run(5000);
    }
}

#[test]
fn dead_hosts_of_any_domain_are_forgotten() {
    let mut domain = Domain::new(2);
    domain.run(5000);
    let mut far = own(9, 4);
    far.domain = "gulf".into();
    for state in [MemberState::Alive, MemberState::Dead] {
        far.state = state;
        let hosts = vec![far.clone()];
        domain.on_event(0, MembershipEvent::PeerStateReceived { hosts });
        assert_eq!(domain.state_at(0, "h9"), Some(state));
    }
    domain.run(70_000);
    assert_eq!(domain.state_at(0, "h9"), None);
    assert_eq!(domain.live_at(0), 2);
}
