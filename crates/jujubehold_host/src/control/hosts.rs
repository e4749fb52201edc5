//! The other hosts' part of the control state.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use jujubehold_core::membership::{Datagram, MembershipAction, MembershipEvent};
use jujubehold_core::ownership::{WATCHERS_PER_DOMAIN, group_watchers};
use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use log::{debug, info};

use super::control_event::ControlEvent;
use super::control_loop::{Control, HostKnowledge};
use crate::peer::{count_sent, host_message};

/// The longest datagram that is taken, in bytes.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// How long a host waits to hear of others before it takes itself for the only one.
const SETTLE_AFTER: Monotonic = Monotonic::from_secs(2);

impl Control {
    /// Starts to take in datagrams.
    pub(super) fn receive_datagrams(&self) {
        let (socket, events) = (Rc::clone(&self.socket), self.events_sender.clone());
        actix_rt::spawn(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                // An error is another host's refusal of an earlier datagram.
                let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                if events.send(ControlEvent::Received { from, text }).is_err() {
                    return;
                }
            }
        });
    }

    /// Takes in a datagram; a malformed one is dropped.
    pub(super) fn on_datagram(&mut self, from: SocketAddr, text: &str) {
        match Datagram::parse(text) {
            Some(datagram) => self.on_membership(MembershipEvent::Datagram { from, datagram }),
            None => debug!("a malformed datagram came from {from}"),
        }
    }

    /// Takes in an event of membership and does what follows from it.
    pub(super) fn on_membership(&mut self, event: MembershipEvent) {
        let now = self.clock.now();
        for action in self.membership.on_event(now, event) {
            match action {
                MembershipAction::Send { to, datagram } => self.send_datagram(to, &datagram),
                MembershipAction::Exchange { with } => self.start_exchange(with),
                MembershipAction::Changed { member } => {
                    info!(host = member.host.as_str(), state = member.state.as_str(); "host");
                    self.is_membership_changed = true;
                }
            }
        }
    }

    fn send_datagram(&self, to: SocketAddr, datagram: &Datagram) {
        let text = datagram.to_string();
        count_sent("datagram", text.len());
        // A datagram that can't be sent now is as good as a lost one.
        let reached_at = self.translation.translate(to);
        let _ = self.socket.try_send_to(text.as_bytes(), reached_at);
    }

    /// Stops to wait for other hosts' words after a while.
    pub(super) fn settle(&mut self, now: Monotonic) {
        if now >= SETTLE_AFTER {
            self.hear_of_hosts();
        }
    }

    /// Notes that this host may have heard of all others by now.
    pub(super) fn hear_of_hosts(&mut self) {
        if self.knowledge == HostKnowledge::Alone {
            self.knowledge = HostKnowledge::Heard;
            self.is_membership_changed = true;
        }
    }

    /// Picks owners and watchers anew where the live hosts changed.
    pub(super) fn apply_membership(&mut self, now: Monotonic) {
        self.is_membership_changed = false;
        let live_hosts = self.membership.live_hosts();
        let changed: BTreeSet<_> = live_hosts
            .keys()
            .chain(self.live_hosts.keys())
            .filter(|domain| live_hosts.get(*domain) != self.live_hosts.get(*domain))
            .cloned()
            .collect();
        self.live_hosts = live_hosts;
        self.update_platform_watch(now < SETTLE_AFTER);
        let is_first = self.knowledge == HostKnowledge::Heard;
        if is_first {
            self.knowledge = HostKnowledge::Watching;
        }
        let touched: Vec<_> = self
            .groups
            .iter()
            .filter(|(_, group)| {
                let mut instances = group.config().instances.values();
                is_first || instances.any(|instance| changed.contains(&instance.domain))
            })
            .map(|(service, _)| service.clone())
            .collect();
        for service in touched {
            self.assign(&service);
            self.dirty.insert(service);
        }
        self.is_urgent |= !changed.is_empty();
    }

    /// Picks the owners of a service's instances and the watchers of its group.
    pub(super) fn assign(&mut self, service: &ServiceId) {
        if let Some(group) = self.groups.get(service) {
            let owners = self.owners_of(group.config());
            if let Some(group) = self.groups.get_mut(service) {
                group.set_owners(owners);
            }
        }
        if self.knowledge != HostKnowledge::Watching {
            return;
        }
        let now = self.clock.now();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let watchers = group_watchers(group.config(), &self.live_hosts, WATCHERS_PER_DOMAIN);
        let old_due = group.due();
        group.set_watchers(now, watchers, &self.owner);
        let new_due = group.due();
        if new_due.is_none() {
            self.runner.forget(service);
        }
        self.reset_timer(service, old_due, new_due);
    }

    /// Tells the others that this host leaves.
    pub(super) fn on_leave(&mut self) {
        self.is_leaving = true;
        self.is_urgent = true;
        self.on_membership(MembershipEvent::Leave);
        let own = host_message(self.membership.own());
        self.notify_domains(&peer::notify_request::Kind::Leaving(own));
    }
}
