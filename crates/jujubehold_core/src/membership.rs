//! The hosts of the installation and their states.
//!
//! The hosts of one failure domain monitor each other by datagrams. Each probes one other host at a
//! fixed interval, so the cost per host does not grow with their number. Hosts of other domains are
//! learned from exchanges and from the platform's list. See docs/notes/membership.md.

mod datagram;
mod gossip;
mod member;
mod probe;
mod settings;

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use crate::ids::{HostId, Monotonic};
use crate::ownership::{DomainHosts, mix};
use crate::value_type;

pub use datagram::{Datagram, DatagramKind};
pub use member::{Member, MemberState};
pub use settings::MembershipSettings;

use gossip::Gossip;
use probe::{IndirectPing, Probe};

value_type! {
    /// An event that changes what a host knows of the others.
    pub enum MembershipEvent {
        /// Time passed.
        Tick,
        /// A datagram arrived.
        Datagram {
            /// The sender's address.
            from: SocketAddr,
            /// The datagram.
            datagram: Datagram,
        },
        /// The platform's list was read completely.
        PlatformListRead {
            /// The hosts on the list.
            hosts: Vec<Member>,
        },
        /// A peer sent the hosts that it knows, in an exchange.
        PeerStateReceived {
            /// The hosts that the peer knows.
            hosts: Vec<Member>,
        },
        /// This host begins to leave.
        Leave,
    }

    /// What a host has to do for membership.
    pub enum MembershipAction {
        /// Send a datagram.
        Send {
            /// The receiver's address.
            to: SocketAddr,
            /// The datagram.
            datagram: Datagram,
        },
        /// Exchange the known hosts with the host at an address.
        Exchange {
            /// That host's address.
            with: SocketAddr,
        },
        /// A host's state changed, or a host was added or removed.
        Changed {
            /// The host's latest known state.
            member: Member,
        },
    }

    struct KnownHost {
        member: Member,
        changed_at: Monotonic,
    }
}

/// One host's view of the others.
///
/// Each known host takes about 250 bytes; the 2,400 hosts of the largest installation take 0.6 MB.
#[derive(Debug, Clone)]
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    seeds: Vec<SocketAddr>,
    random_state: u64,
    // The other hosts of this host's failure domain.
    peers: BTreeMap<HostId, KnownHost>,
    // Hosts of other failure domains.
    others: BTreeMap<HostId, KnownHost>,
    gossip: Gossip,
    probe_order: Vec<HostId>,
    probe: Option<Probe>,
    indirect_pings: BTreeMap<u64, IndirectPing>,
    next_sequence: u64,
    probe_due: Monotonic,
    rejoin_due: Monotonic,
    exchange_due: Monotonic,
    last_tick_at: Monotonic,
}

impl Membership {
    /// Creates the view of a host that knows only itself and its seeds.
    ///
    /// `own.incarnation` must be higher than in any earlier run under the same name. `seed` makes
    /// the order of this host's probes differ from that of other hosts.
    pub fn new(
        settings: MembershipSettings,
        own: Member,
        seeds: Vec<SocketAddr>,
        seed: u64,
    ) -> Self {
        Self {
            settings,
            own,
            seeds,
            random_state: seed,
            peers: BTreeMap::new(),
            others: BTreeMap::new(),
            gossip: Gossip::default(),
            probe_order: Vec::new(),
            probe: None,
            indirect_pings: BTreeMap::new(),
            next_sequence: 1,
            probe_due: Monotonic::ZERO,
            rejoin_due: Monotonic::ZERO,
            exchange_due: Monotonic::ZERO,
            last_tick_at: Monotonic::ZERO,
        }
    }

    /// Returns this host's own entry, as other hosts receive it.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Returns every known host, including this one.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let known = self.peers.values().chain(self.others.values());
        std::iter::once(&self.own).chain(known.map(|known| &known.member))
    }

    /// Returns a host by its name.
    pub fn member(&self, host: &str) -> Option<&Member> {
        if host == self.own.host {
            return Some(&self.own);
        }
        let known = self.peers.get(host).or_else(|| self.others.get(host));
        known.map(|known| &known.member)
    }

    /// Returns the live hosts of each failure domain, from which owners and watchers are picked.
    pub fn live_hosts(&self) -> DomainHosts {
        let mut hosts: BTreeMap<_, BTreeSet<_>> = DomainHosts::new();
        for member in self.members().filter(|member| member.is_live()) {
            hosts
                .entry(member.domain.clone())
                .or_default()
                .insert(member.host.clone());
        }
        hosts
    }

    /// Returns the time at which the next tick is due at the latest.
    pub fn next_wakeup(&self) -> Monotonic {
        let probe_due = self.probe.as_ref().map(Probe::due);
        let suspicion_due = self
            .peers
            .values()
            .filter(|known| known.member.state == MemberState::Suspect)
            .map(|known| known.changed_at + self.settings.suspicion_timeout)
            .min();
        [probe_due, suspicion_due]
            .into_iter()
            .flatten()
            .fold(self.probe_due, Ord::min)
    }

    /// Handles an event and returns the actions to take.
    pub fn on_event(&mut self, now: Monotonic, event: MembershipEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Tick => self.on_tick(now, &mut actions),
            MembershipEvent::Datagram { from, datagram } => {
                self.on_datagram(now, from, datagram, &mut actions);
            }
            MembershipEvent::PlatformListRead { hosts } => self.on_list(now, hosts, &mut actions),
            MembershipEvent::PeerStateReceived { hosts } => {
                for member in hosts {
                    self.apply(now, member, &mut actions);
                }
            }
            MembershipEvent::Leave => self.on_leave(&mut actions),
        }
        actions
    }

    // The list lags behind, so it only makes hosts known: a state that a host reported itself takes
    // precedence. Hosts that are missing from the list are removed only if they are in other
    // failure domains, which this host doesn't probe.
    fn on_list(&mut self, now: Monotonic, hosts: Vec<Member>, actions: &mut Vec<MembershipAction>) {
        let listed: BTreeSet<_> = hosts.iter().map(|member| member.host.clone()).collect();
        for mut member in hosts {
            member.incarnation = 0;
            self.apply(now, member, actions);
        }
        let lifetime = self.settings.dead_lifetime;
        let dropped: Vec<_> = self
            .others
            .iter()
            .filter(|(host, _)| !listed.contains(*host))
            .filter(|(_, known)| now.saturating_sub(known.changed_at) >= lifetime)
            .map(|(host, _)| host.clone())
            .collect();
        for host in dropped {
            if let Some(mut known) = self.others.remove(&host) {
                known.member.state = MemberState::Dead;
                let member = known.member;
                actions.push(MembershipAction::Changed { member });
            }
        }
    }

    fn on_leave(&mut self, actions: &mut Vec<MembershipAction>) {
        self.own.state = MemberState::Leaving;
        self.own.incarnation += 1;
        let member = self.own.clone();
        actions.push(MembershipAction::Changed { member });
        self.send_updates(2 * self.settings.fanout, actions);
    }

    /// Applies a state of a host if it supersedes the known one.
    fn apply(&mut self, now: Monotonic, member: Member, actions: &mut Vec<MembershipAction>) {
        if member.host == self.own.host {
            self.refute(&member, actions);
            return;
        }
        let is_peer = member.domain == self.own.domain;
        let known = if is_peer {
            &mut self.peers
        } else {
            &mut self.others
        };
        match known.get(&member.host) {
            Some(old) if !member.supersedes(&old.member) => return,
            // The death of an unknown host needs no entry.
            None if member.state == MemberState::Dead => return,
            Some(_) | None => {}
        }
        let changed_at = now;
        known.insert(
            member.host.clone(),
            KnownHost {
                member: member.clone(),
                changed_at,
            },
        );
        if is_peer {
            self.gossip.enqueue(&member.host);
        }
        let is_urgent = is_peer && !member.is_live();
        actions.push(MembershipAction::Changed { member });
        if is_urgent {
            self.send_updates(self.settings.fanout, actions);
        }
    }

    // Refutes a claim that this host is suspect or dead, or one from an earlier run of it, by a
    // higher incarnation.
    fn refute(&mut self, claim: &Member, actions: &mut Vec<MembershipAction>) {
        if claim.supersedes(&self.own) {
            self.own.incarnation = claim.incarnation + 1;
            self.send_updates(self.settings.fanout, actions);
        }
    }

    /// Sends updates to up to `count` peers at once.
    fn send_updates(&mut self, count: usize, actions: &mut Vec<MembershipAction>) {
        for to in self.pick_peers(count, |member| member.state != MemberState::Dead) {
            let datagram = self.datagram(DatagramKind::Updates);
            actions.push(MembershipAction::Send { to, datagram });
        }
    }

    /// Builds a datagram with this host's own state and the updates that were sent least often.
    fn datagram(&mut self, kind: DatagramKind) -> Datagram {
        let count = self.settings.max_updates.saturating_sub(1);
        let hosts = self.gossip.select(count, self.peers.len() + 1);
        let updates = hosts
            .iter()
            .filter_map(|host| self.peers.get(host))
            .map(|known| known.member.clone());
        Datagram {
            from: self.own.host.clone(),
            kind,
            updates: std::iter::once(self.own.clone()).chain(updates).collect(),
        }
    }

    fn pick_peers(&mut self, count: usize, is_wanted: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        let salt = self.random();
        let mut peers: Vec<_> = self
            .peers
            .values()
            .filter(|known| is_wanted(&known.member))
            .map(|known| {
                let weight = crate::ownership::weight("pick", &known.member.host);
                (mix(weight ^ salt), known.member.peer_address)
            })
            .collect();
        peers.sort_unstable();
        peers.truncate(count);
        peers.into_iter().map(|(_, address)| address).collect()
    }

    fn random(&mut self) -> u64 {
        self.random_state = self.random_state.wrapping_add(0x9e37_79b9_7f4a_7c15);
        mix(self.random_state)
    }

    fn sequence(&mut self) -> u64 {
        self.next_sequence += 1;
        self.next_sequence
    }
}
