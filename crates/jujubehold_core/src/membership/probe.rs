//! Failure detection: probes, indirect pings, suspicion and rejoining.

use std::net::SocketAddr;

use crate::ids::{HostId, Monotonic};
use crate::membership::datagram::{Datagram, DatagramKind};
use crate::membership::member::{Member, MemberState};
use crate::membership::{Membership, MembershipAction};
use crate::ownership::{mix, weight};
use crate::value_type;

/// The most pings that a host has in flight on behalf of others.
const MAX_INDIRECT_PINGS: usize = 64;

value_type! {
    /// The probe that is in flight.
    pub(super) struct Probe {
        target: HostId,
        sequence: u64,
        ask_helpers_at: Monotonic,
        ends_at: Monotonic,
        has_asked_helpers: bool,
    }

    /// A ping sent on behalf of another host.
    pub(super) struct IndirectPing {
        requester: SocketAddr,
        sequence: u64,
        started_at: Monotonic,
    }
}

impl Probe {
    pub(super) fn due(&self) -> Monotonic {
        if self.has_asked_helpers {
            self.ends_at
        } else {
            self.ask_helpers_at
        }
    }
}

impl Membership {
    pub(super) fn on_tick(&mut self, now: Monotonic, actions: &mut Vec<MembershipAction>) {
        self.reset_after_pause(now);
        self.advance_probe(now, actions);
        self.expire(now, actions);
        if now >= self.probe_due {
            self.probe_due = now + self.settings.probe_interval;
            self.start_probe(now, actions);
        }
        if now >= self.rejoin_due {
            self.rejoin_due = now + self.settings.rejoin_interval;
            self.rejoin(actions);
        }
        if now >= self.exchange_due {
            let partner = self.pick_peers(1, Member::is_live);
            let knows_no_peer = partner.is_empty();
            let seeds = self.seeds.clone();
            let with = partner
                .into_iter()
                .chain(seeds.into_iter().filter(|_| knows_no_peer));
            actions.extend(with.map(|with| MembershipAction::Exchange { with }));
            // A host that knows no live peer exchanges at the shorter interval.
            let interval = if knows_no_peer {
                self.settings.rejoin_interval
            } else {
                self.settings.exchange_interval
            };
            self.exchange_due = now + interval;
        }
    }

    // A host that was paused may have missed acks and refutations, so after a pause it drops the
    // current probe and gives every suspect its whole timeout again.
    fn reset_after_pause(&mut self, now: Monotonic) {
        let since_last_tick = now.saturating_sub(self.last_tick_at);
        self.last_tick_at = now;
        if since_last_tick < self.settings.probe_interval * 2 {
            return;
        }
        self.probe = None;
        let suspects = self
            .peers
            .values_mut()
            .filter(|known| known.member.state == MemberState::Suspect);
        for known in suspects {
            known.changed_at = now;
        }
    }

    pub(super) fn on_datagram(
        &mut self,
        now: Monotonic,
        from: SocketAddr,
        datagram: Datagram,
        actions: &mut Vec<MembershipAction>,
    ) {
        for member in datagram.updates {
            self.apply(now, member, actions);
        }
        let sender = datagram.from;
        match datagram.kind {
            DatagramKind::Ping { sequence } => {
                let datagram = self.datagram(DatagramKind::Ack { sequence });
                let datagram = self.with_receiver_state(datagram, &sender);
                actions.push(MembershipAction::Send { to: from, datagram });
            }
            DatagramKind::Ack { sequence } => self.on_ack(sequence, actions),
            DatagramKind::PingRequest { sequence, target } => {
                self.ping_for_peer(now, from, sequence, &target, actions);
            }
            DatagramKind::Updates => {}
        }
    }

    fn on_ack(&mut self, sequence: u64, actions: &mut Vec<MembershipAction>) {
        if let Some(indirect_ping) = self.indirect_pings.remove(&sequence) {
            let datagram = self.datagram(DatagramKind::Ack {
                sequence: indirect_ping.sequence,
            });
            let to = indirect_ping.requester;
            actions.push(MembershipAction::Send { to, datagram });
            return;
        }
        if self
            .probe
            .as_ref()
            .is_some_and(|probe| probe.sequence == sequence)
        {
            self.probe = None;
        }
    }

    fn ping_for_peer(
        &mut self,
        now: Monotonic,
        requester: SocketAddr,
        sequence: u64,
        target: &HostId,
        actions: &mut Vec<MembershipAction>,
    ) {
        let Some(to) = self
            .peers
            .get(target)
            .map(|known| known.member.peer_address)
        else {
            return;
        };
        if self.indirect_pings.len() >= MAX_INDIRECT_PINGS {
            return;
        }
        let own_sequence = self.sequence();
        let indirect_ping = IndirectPing {
            requester,
            sequence,
            started_at: now,
        };
        self.indirect_pings.insert(own_sequence, indirect_ping);
        let datagram = self.datagram(DatagramKind::Ping {
            sequence: own_sequence,
        });
        actions.push(MembershipAction::Send { to, datagram });
    }

    fn start_probe(&mut self, now: Monotonic, actions: &mut Vec<MembershipAction>) {
        if self.probe.is_some() {
            return;
        }
        let Some(target) = self.next_target() else {
            return;
        };
        let Some(to) = self
            .peers
            .get(&target)
            .map(|known| known.member.peer_address)
        else {
            return;
        };
        let sequence = self.sequence();
        self.probe = Some(Probe {
            target: target.clone(),
            sequence,
            ask_helpers_at: now + self.settings.ack_timeout,
            ends_at: now
                + self
                    .settings
                    .probe_interval
                    .max(self.settings.ack_timeout * 2),
            has_asked_helpers: false,
        });
        let datagram = self.datagram(DatagramKind::Ping { sequence });
        let datagram = self.with_receiver_state(datagram, &target);
        actions.push(MembershipAction::Send { to, datagram });
    }

    // Each round probes every host once, in an order of its own, so that two probes of a host are
    // never more than two rounds apart.
    fn next_target(&mut self) -> Option<HostId> {
        loop {
            if self.probe_order.is_empty() {
                let salt = self.random();
                let mut order: Vec<_> = self
                    .peers
                    .values()
                    .filter(|known| known.member.state != MemberState::Dead)
                    .map(|known| known.member.host.clone())
                    .collect();
                order.sort_by_key(|host| mix(weight("probe", host) ^ salt));
                self.probe_order = order;
            }
            let host = self.probe_order.pop()?;
            let is_probed = self
                .peers
                .get(&host)
                .is_some_and(|known| known.member.state != MemberState::Dead);
            if is_probed {
                return Some(host);
            }
        }
    }

    fn advance_probe(&mut self, now: Monotonic, actions: &mut Vec<MembershipAction>) {
        let Some(probe) = &mut self.probe else {
            return;
        };
        if now >= probe.ends_at {
            let target = probe.target.clone();
            self.probe = None;
            self.suspect(now, &target, actions);
            return;
        }
        if now < probe.ask_helpers_at || probe.has_asked_helpers {
            return;
        }
        probe.has_asked_helpers = true;
        let (target, sequence) = (probe.target.clone(), probe.sequence);
        let helpers = self.pick_peers(self.settings.helpers, |member| {
            member.state == MemberState::Alive && member.host != target
        });
        for to in helpers {
            let datagram = self.datagram(DatagramKind::PingRequest {
                sequence,
                target: target.clone(),
            });
            actions.push(MembershipAction::Send { to, datagram });
        }
    }

    fn suspect(&mut self, now: Monotonic, target: &HostId, actions: &mut Vec<MembershipAction>) {
        let Some(known) = self.peers.get(target) else {
            return;
        };
        let mut member = known.member.clone();
        match member.state {
            MemberState::Alive => member.state = MemberState::Suspect,
            // A leaving host that no longer answers has left.
            MemberState::Leaving => member.state = MemberState::Dead,
            MemberState::Suspect | MemberState::Dead => return,
        }
        self.apply(now, member, actions);
    }

    fn expire(&mut self, now: Monotonic, actions: &mut Vec<MembershipAction>) {
        let age_limit = self.settings.suspicion_timeout;
        let overdue: Vec<_> = self
            .peers
            .values()
            .filter(|known| known.member.state == MemberState::Suspect)
            .filter(|known| now.saturating_sub(known.changed_at) >= age_limit)
            .map(|known| known.member.clone())
            .collect();
        for mut member in overdue {
            member.state = MemberState::Dead;
            self.apply(now, member, actions);
        }
        let lifetime = self.settings.dead_lifetime;
        for hosts in [&mut self.peers, &mut self.others] {
            hosts.retain(|_, known| {
                known.member.state != MemberState::Dead
                    || now.saturating_sub(known.changed_at) < lifetime
            });
        }
        let indirect_ping_lifetime = self.settings.probe_interval * 2;
        self.indirect_pings.retain(|_, indirect_ping| {
            now.saturating_sub(indirect_ping.started_at) < indirect_ping_lifetime
        });
    }

    // Hosts that lost contact find each other again by pinging seeds and hosts that they consider
    // dead.
    fn rejoin(&mut self, actions: &mut Vec<MembershipAction>) {
        let mut addresses = self.pick_peers(1, |member| member.state == MemberState::Dead);
        let known: Vec<_> = self
            .peers
            .values()
            .filter(|known| known.member.is_live())
            .map(|known| known.member.peer_address)
            .collect();
        let own_address = self.own.peer_address;
        let missing: Vec<_> = self
            .seeds
            .iter()
            .copied()
            .filter(|seed| *seed != own_address && !known.contains(seed))
            .collect();
        if !missing.is_empty() {
            let index = self.random() % u64::try_from(missing.len()).unwrap_or(1);
            let index = usize::try_from(index).unwrap_or(0);
            // A host that knows no live peer pings all its seeds.
            if known.is_empty() {
                addresses.extend(missing);
            } else {
                addresses.extend(missing.get(index));
            }
        }
        for to in addresses {
            let sequence = self.sequence();
            let datagram = self.datagram(DatagramKind::Ping { sequence });
            actions.push(MembershipAction::Send { to, datagram });
        }
    }

    /// Adds the receiver's state as this host knows it, so that a receiver that this host does not
    /// consider alive can refute.
    fn with_receiver_state(&self, mut datagram: Datagram, receiver: &HostId) -> Datagram {
        let Some(known) = self.peers.get(receiver) else {
            return datagram;
        };
        let is_not_alive = known.member.state != MemberState::Alive;
        let is_included = datagram
            .updates
            .iter()
            .any(|update| update.host == *receiver);
        if is_not_alive && !is_included {
            datagram.updates.truncate(self.settings.max_updates - 1);
            datagram.updates.push(known.member.clone());
        }
        datagram
    }
}
