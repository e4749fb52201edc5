//! Which hosts there are.
//!
//! The hosts of one failure domain watch each other by datagrams: each probes one other in a fixed
//! interval, so the cost of a host stays the same however many there are. Hosts of other domains
//! are known from exchanges and from the platform's list. See docs/notes/membership.md.

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
use probe::{Probe, Relay};

value_type! {
    /// What happens to a host's knowledge of the others.
    pub enum MembershipEvent {
        /// Time passed.
        Tick,
        /// A datagram came in.
        Received {
            /// The address it came from.
            from: SocketAddr,
            /// What it says.
            datagram: Datagram,
        },
        /// The platform's list was read, whole.
        Listed {
            /// The hosts on it.
            hosts: Vec<Member>,
        },
        /// A peer told what it knows, in an exchange.
        Heard {
            /// The hosts it knows.
            hosts: Vec<Member>,
        },
        /// This host leaves.
        Leave,
    }

    /// What to do for membership.
    pub enum MembershipAction {
        /// Send a datagram.
        Send {
            /// Where to.
            to: SocketAddr,
            /// What.
            datagram: Datagram,
        },
        /// Exchange all that is known with the host at an address.
        Exchange {
            /// Where to.
            with: SocketAddr,
        },
        /// A host's state changed, or a host became known or forgotten.
        Changed {
            /// The host as it is known now.
            member: Member,
        },
    }

    struct Known {
        member: Member,
        changed_at: Monotonic,
    }
}

/// What one host knows of the others.
///
/// A host takes about 250 bytes; the 2,400 hosts of the largest installation 0.6 MB.
#[derive(Debug, Clone)]
pub struct Membership {
    settings: MembershipSettings,
    own: Member,
    seeds: Vec<SocketAddr>,
    random_state: u64,
    // Hosts of the own failure domain, this one left out.
    peers: BTreeMap<HostId, Known>,
    // Hosts of other failure domains.
    others: BTreeMap<HostId, Known>,
    gossip: Gossip,
    probe_order: Vec<HostId>,
    probe: Option<Probe>,
    relays: BTreeMap<u64, Relay>,
    next_sequence: u64,
    probe_due: Monotonic,
    rejoin_due: Monotonic,
    exchange_due: Monotonic,
    last_tick_at: Monotonic,
}

impl Membership {
    /// A host that knows only itself and its seeds.
    ///
    /// `own.incarnation` must be higher than in any earlier life under the same name; `seed` makes
    /// the order of its probes differ from other hosts'.
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
            relays: BTreeMap::new(),
            next_sequence: 1,
            probe_due: Monotonic::ZERO,
            rejoin_due: Monotonic::ZERO,
            exchange_due: Monotonic::ZERO,
            last_tick_at: Monotonic::ZERO,
        }
    }

    /// This host as it shows itself.
    pub fn own(&self) -> &Member {
        &self.own
    }

    /// Every known host, this one among them.
    pub fn members(&self) -> impl Iterator<Item = &Member> {
        let known = self.peers.values().chain(self.others.values());
        std::iter::once(&self.own).chain(known.map(|known| &known.member))
    }

    /// A host by its name.
    pub fn member(&self, host: &str) -> Option<&Member> {
        if host == self.own.host {
            return Some(&self.own);
        }
        let known = self.peers.get(host).or_else(|| self.others.get(host));
        known.map(|known| &known.member)
    }

    /// The live hosts of each failure domain, from which owners and watchers are picked.
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

    /// When the next tick is due at the latest.
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

    /// Takes in an event and says what to do.
    pub fn on_event(&mut self, now: Monotonic, event: MembershipEvent) -> Vec<MembershipAction> {
        let mut actions = Vec::new();
        match event {
            MembershipEvent::Tick => self.on_tick(now, &mut actions),
            MembershipEvent::Received { from, datagram } => {
                self.on_datagram(now, from, datagram, &mut actions);
            }
            MembershipEvent::Listed { hosts } => self.on_listed(now, hosts, &mut actions),
            MembershipEvent::Heard { hosts } => {
                for member in hosts {
                    self.apply(now, member, &mut actions);
                }
            }
            MembershipEvent::Leave => self.on_leave(&mut actions),
        }
        actions
    }

    // The list lags: it makes hosts known, and what the hosts say themselves outweighs it. Only
    // of other failure domains, which this host doesn't watch, does it drop what it lacks.
    fn on_listed(
        &mut self,
        now: Monotonic,
        hosts: Vec<Member>,
        actions: &mut Vec<MembershipAction>,
    ) {
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
        self.spread(2 * self.settings.fanout, actions);
    }

    /// Takes in a word of a host, if it outweighs what is known.
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
            Some(old) if !member.outweighs(&old.member) => return,
            // A host that is gone and never was known is no news.
            None if member.state == MemberState::Dead => return,
            Some(_) | None => {}
        }
        let changed_at = now;
        known.insert(
            member.host.clone(),
            Known {
                member: member.clone(),
                changed_at,
            },
        );
        if is_peer {
            self.gossip.add(&member.host);
        }
        let is_urgent = is_peer && !member.is_live();
        actions.push(MembershipAction::Changed { member });
        if is_urgent {
            self.spread(self.settings.fanout, actions);
        }
    }

    // Others think that this host is gone, or know it from an earlier life.
    fn refute(&mut self, said: &Member, actions: &mut Vec<MembershipAction>) {
        if said.outweighs(&self.own) {
            self.own.incarnation = said.incarnation + 1;
            self.spread(self.settings.fanout, actions);
        }
    }

    /// Tells the news to some hosts at once.
    fn spread(&mut self, count: usize, actions: &mut Vec<MembershipAction>) {
        for to in self.pick_peers(count, |member| member.state != MemberState::Dead) {
            let datagram = self.datagram(DatagramKind::News);
            actions.push(MembershipAction::Send { to, datagram });
        }
    }

    /// A datagram with this host's own state and the news that was told least.
    fn datagram(&mut self, kind: DatagramKind) -> Datagram {
        let count = self.settings.max_updates.saturating_sub(1);
        let hosts = self.gossip.take(count, self.peers.len() + 1);
        let news = hosts
            .iter()
            .filter_map(|host| self.peers.get(host))
            .map(|known| known.member.clone());
        Datagram {
            from: self.own.host.clone(),
            kind,
            updates: std::iter::once(self.own.clone()).chain(news).collect(),
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
