//! How the control thread handles membership and assigns owners and watchers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;

use jujubehold_core::membership::{Datagram, MembershipAction, MembershipEvent};
use jujubehold_core::ownership::{WATCHERS_PER_DOMAIN, group_watchers};
use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use log::{debug, info};

use super::control_event::ControlEvent;
use super::control_loop::{Control, DiscoveryState};
use crate::peer::{count_sent, host_message};

/// The size of the receive buffer for datagrams, in bytes; longer datagrams are truncated.
const MAX_DATAGRAM_BYTES: usize = 2048;
/// How long after its start a host waits to learn of others before it assumes that it is the only
/// one.
const DISCOVERY_TIMEOUT: Monotonic = Monotonic::from_secs(2);

impl Control {
    /// Spawns the task that receives datagrams.
    pub(super) fn receive_datagrams(&self) {
        let (socket, events) = (Rc::clone(&self.socket), self.events_sender.clone());
        actix_rt::spawn(async move {
            let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
            loop {
                // An error reports that another host refused an earlier datagram.
                let Ok((length, from)) = socket.recv_from(&mut buffer).await else {
                    tokio::task::yield_now().await;
                    continue;
                };
                let text = String::from_utf8_lossy(&buffer[..length]).into_owned();
                if events
                    .send(ControlEvent::DatagramReceived { from, text })
                    .is_err()
                {
                    return;
                }
            }
        });
    }

    /// Handles a datagram; drops a malformed one.
    pub(super) fn on_datagram(&mut self, from: SocketAddr, text: &str) {
        match Datagram::parse(text) {
            Some(datagram) => self.on_membership(MembershipEvent::Datagram { from, datagram }),
            None => debug!("dropped a malformed datagram from {from}"),
        }
    }

    /// Handles an event of membership and runs the resulting actions.
    pub(super) fn on_membership(&mut self, event: MembershipEvent) {
        let now = self.clock.now();
        for action in self.membership.on_event(now, event) {
            match action {
                MembershipAction::Send { to, datagram } => self.send_datagram(to, &datagram),
                MembershipAction::Exchange { with } => self.start_exchange(with),
                MembershipAction::Changed { member } => {
                    info!(host = member.host.as_str(), state = member.state.as_str();
                        "host state changed");
                    self.is_membership_changed = true;
                }
            }
        }
    }

    fn send_datagram(&self, to: SocketAddr, datagram: &Datagram) {
        let text = datagram.to_string();
        count_sent("datagram", text.len());
        // A datagram that can't be sent now is treated as lost.
        let translated = self.translation.translate(to);
        let _ = self.socket.try_send_to(text.as_bytes(), translated);
    }

    /// Ends the discovery of other hosts once its timeout has passed.
    pub(super) fn check_discovery_timeout(&mut self, now: Monotonic) {
        if now >= DISCOVERY_TIMEOUT {
            self.end_discovery();
        }
    }

    /// Ends the discovery of other hosts, because this host may know all of them by now. It then
    /// starts to watch groups.
    pub(super) fn end_discovery(&mut self) {
        if self.discovery == DiscoveryState::Waiting {
            self.discovery = DiscoveryState::Ended;
            self.is_membership_changed = true;
        }
    }

    /// Reassigns owners and watchers of the groups in whose failure domains the live hosts changed.
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
        self.update_platform_watch(now < DISCOVERY_TIMEOUT);
        let is_first = self.discovery == DiscoveryState::Ended;
        if is_first {
            self.discovery = DiscoveryState::Watching;
        }
        let affected: Vec<_> = self
            .groups
            .iter()
            .filter(|(_, group)| {
                let mut instances = group.config().instances.values();
                is_first || instances.any(|instance| changed.contains(&instance.domain))
            })
            .map(|(service, _)| service.clone())
            .collect();
        for service in affected {
            self.assign_owners_and_watchers(&service);
            self.changed_services.insert(service);
        }
        self.is_publish_urgent |= !changed.is_empty();
    }

    /// Assigns the owners of a service's instances and the watchers of its group.
    pub(super) fn assign_owners_and_watchers(&mut self, service: &ServiceId) {
        if let Some(group) = self.groups.get(service) {
            let owners = self.owners_of(group.config());
            if let Some(group) = self.groups.get_mut(service) {
                group.set_owners(owners);
            }
        }
        if self.discovery != DiscoveryState::Watching {
            return;
        }
        let now = self.clock.now();
        let Some(group) = self.groups.get_mut(service) else {
            return;
        };
        let watchers = group_watchers(group.config(), &self.live_hosts, WATCHERS_PER_DOMAIN);
        let old_due = group.due();
        group.set_watchers(now, watchers, &self.context);
        let new_due = group.due();
        if new_due.is_none() {
            self.runner.close_connections(service);
        }
        self.reset_timer(service, old_due, new_due);
    }

    /// Announces to the other hosts that this host leaves.
    pub(super) fn on_leave(&mut self) {
        self.is_leaving = true;
        self.is_publish_urgent = true;
        self.on_membership(MembershipEvent::Leave);
        let own = host_message(self.membership.own());
        self.notify_domains(&peer::notify_request::Kind::Leaving(own));
    }
}
