//! How a host finds out that another one is gone.

use std::net::SocketAddr;

use crate::ids::{HostId, Monotonic};
use crate::membership::datagram::{Datagram, DatagramKind};
use crate::membership::member::{Member, MemberState};
use crate::membership::{Membership, MembershipAction};
use crate::ownership::{mix, weight};
use crate::value_type;

/// The most pings that a host has under way for others.
const MAX_RELAYS: usize = 64;

value_type! {
    /// The probe that is under way.
    pub(super) struct Probe {
        target: HostId,
        sequence: u64,
        ask_helpers_at: Monotonic,
        ends_at: Monotonic,
        has_asked: bool,
    }

    /// A ping for another host's sake.
    pub(super) struct Relay {
        answer_to: SocketAddr,
        sequence: u64,
        started_at: Monotonic,
    }
}

impl Probe {
    pub(super) fn due(&self) -> Monotonic {
        if self.has_asked {
            self.ends_at
        } else {
            self.ask_helpers_at
        }
    }
}

impl Membership {
    pub(super) fn on_tick(&mut self, now: Monotonic, actions: &mut Vec<MembershipAction>) {
        self.forget_what_was_missed(now);
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
            let is_alone = partner.is_empty();
            let seeds = self.seeds.clone();
            let with = partner
                .into_iter()
                .chain(seeds.into_iter().filter(|_| is_alone));
            actions.extend(with.map(|with| MembershipAction::Exchange { with }));
            // Until someone is known, this host asks often.
            let interval = if is_alone {
                self.settings.rejoin_interval
            } else {
                self.settings.exchange_interval
            };
            self.exchange_due = now + interval;
        }
    }

    // What a host did not hear while it was paused is no sign against the others: they get their
    // whole time again to answer and to refute.
    fn forget_what_was_missed(&mut self, now: Monotonic) {
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
                let datagram = self.with_doubt(datagram, &sender);
                actions.push(MembershipAction::Send { to: from, datagram });
            }
            DatagramKind::Ack { sequence } => self.on_ack(sequence, actions),
            DatagramKind::PingRequest { sequence, target } => {
                self.relay(now, from, sequence, &target, actions);
            }
            DatagramKind::News => {}
        }
    }

    fn on_ack(&mut self, sequence: u64, actions: &mut Vec<MembershipAction>) {
        if let Some(relay) = self.relays.remove(&sequence) {
            let datagram = self.datagram(DatagramKind::Ack {
                sequence: relay.sequence,
            });
            let to = relay.answer_to;
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

    fn relay(
        &mut self,
        now: Monotonic,
        answer_to: SocketAddr,
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
        if self.relays.len() >= MAX_RELAYS {
            return;
        }
        let own_sequence = self.sequence();
        let relay = Relay {
            answer_to,
            sequence,
            started_at: now,
        };
        self.relays.insert(own_sequence, relay);
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
            has_asked: false,
        });
        let datagram = self.datagram(DatagramKind::Ping { sequence });
        let datagram = self.with_doubt(datagram, &target);
        actions.push(MembershipAction::Send { to, datagram });
    }

    // Every host is probed once in each round, in an order of its own, so that none is missed for
    // longer than two rounds.
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
            let is_there = self
                .peers
                .get(&host)
                .is_some_and(|known| known.member.state != MemberState::Dead);
            if is_there {
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
        if now < probe.ask_helpers_at || probe.has_asked {
            return;
        }
        probe.has_asked = true;
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
            // It said that it leaves, and it has left.
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
        let relay_lifetime = self.settings.probe_interval * 2;
        self.relays
            .retain(|_, relay| now.saturating_sub(relay.started_at) < relay_lifetime);
    }

    // Hosts that lost sight of each other find each other again through seeds and through hosts
    // that they took for gone.
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
            // A host that knows no one asks all its seeds.
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

    /// Adds what this host thinks of the receiver, so that a receiver taken for gone can refute.
    fn with_doubt(&self, mut datagram: Datagram, receiver: &HostId) -> Datagram {
        let Some(known) = self.peers.get(receiver) else {
            return datagram;
        };
        let is_doubted = known.member.state != MemberState::Alive;
        let is_there = datagram
            .updates
            .iter()
            .any(|update| update.host == *receiver);
        if is_doubted && !is_there {
            datagram.updates.truncate(self.settings.max_updates - 1);
            datagram.updates.push(known.member.clone());
        }
        datagram
    }
}
