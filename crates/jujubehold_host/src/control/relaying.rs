//! How notifications reach the hosts of every failure domain.
//!
//! See docs/notes/configuration-relay.md.

use jujubehold_core::ownership::{CONFIG_WATCHERS_PER_DOMAIN, config_watchers};
use jujubehold_core::prelude::*;
use jujubehold_core::relay_tree::{RelayTree, initial_copies};
use jujubehold_wire::peer;
use jujubehold_wire::peer::notify_request::Kind;
use metrics::counter;

use super::control_loop::Control;
use crate::peer::PeerTarget;

/// How the receiver of a notification relays it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum RelayMode {
    /// The receiver does not relay it.
    NoRelay,
    /// The receiver relays it along a tree over its failure domain.
    Tree(RelayTree),
    /// The receiver starts relaying it to all of its failure domain.
    OwnDomain,
}

impl RelayMode {
    /// Returns how a received notification has to be relayed.
    pub(super) fn of(request: &peer::NotifyRequest) -> Self {
        match &request.tree {
            Some(tree) => Self::Tree(RelayTree {
                root: tree.root.as_str().into(),
                other_root: tree.other_root.as_str().into(),
                is_reversed: tree.is_reversed,
            }),
            None if request.is_for_domain => Self::OwnDomain,
            None => Self::NoRelay,
        }
    }
}

impl Control {
    /// Notifies the hosts of this failure domain, and the configuration watchers of every other
    /// one, which relay the notification there.
    pub(super) fn notify_domains(&mut self, kind: &Kind) {
        let relays: Vec<_> = self
            .live_hosts
            .iter()
            .filter(|(domain, _)| **domain != self.domain)
            .flat_map(|(domain, hosts)| config_watchers(domain, hosts, CONFIG_WATCHERS_PER_DOMAIN))
            .collect();
        for host in relays {
            self.notify(&host, kind.clone(), RelayMode::OwnDomain);
        }
        self.notify_own_domain(kind);
    }

    /// Notifies the hosts of this failure domain, with this host as the origin.
    pub(super) fn notify_own_domain(&mut self, kind: &Kind) {
        let Some(hosts) = self.live_hosts.get(&self.domain) else {
            return;
        };
        let own = &self.context.host;
        let relays = config_watchers(&self.domain, hosts, CONFIG_WATCHERS_PER_DOMAIN);
        let key = notification_key(kind);
        let copies = initial_copies(&key, hosts, own, &relays);
        for tree in RelayTree::rooted_at(own, &relays) {
            self.relay_history.insert(&key, &tree);
        }
        for copy in copies {
            let relay_mode = copy.tree.map_or(RelayMode::NoRelay, RelayMode::Tree);
            self.notify(&copy.to, kind.clone(), relay_mode);
        }
    }

    /// Notifies the hosts of this failure domain, unless this host has already relayed the
    /// notification along the trees that start at it.
    pub(super) fn notify_own_domain_once(&mut self, kind: &Kind) {
        let Some(hosts) = self.live_hosts.get(&self.domain) else {
            return;
        };
        let relays = config_watchers(&self.domain, hosts, CONFIG_WATCHERS_PER_DOMAIN);
        let key = notification_key(kind);
        let mut trees = RelayTree::rooted_at(&self.context.host, &relays).into_iter();
        if trees.any(|tree| self.relay_history.insert(&key, &tree)) {
            self.notify_own_domain(kind);
        }
    }

    /// Relays a notification along the tree by which it was received.
    pub(super) fn relay_along(&mut self, tree: &RelayTree, kind: &Kind) {
        let key = notification_key(kind);
        if !self.relay_history.insert(&key, tree) {
            return;
        }
        if let Some(hosts) = self.live_hosts.get(&self.domain) {
            for to in tree.receivers(&key, hosts, &self.context.host) {
                counter!("jujubehold_relayed_notifications_total").increment(1);
                self.notify(&to, kind.clone(), RelayMode::Tree(tree.clone()));
            }
        }
        // The other tree starts at this host, which may not have received the notification
        // otherwise.
        if tree.other_root == self.context.host && tree.root != self.context.host {
            self.notify_own_domain_once(kind);
        }
    }

    /// Notifies one other host.
    pub(super) fn notify(&mut self, host: &HostId, kind: Kind, relay_mode: RelayMode) {
        if *host == self.context.host {
            return;
        }
        let Some(member) = self.membership.member(host) else {
            return;
        };
        let is_for_domain = relay_mode == RelayMode::OwnDomain;
        let tree = match relay_mode {
            RelayMode::Tree(tree) => Some(peer::RelayTree {
                root: tree.root.to_string(),
                other_root: tree.other_root.to_string(),
                is_reversed: tree.is_reversed,
            }),
            RelayMode::NoRelay | RelayMode::OwnDomain => None,
        };
        let request = peer::NotifyRequest {
            host: self.context.host.to_string(),
            domain: self.domain.to_string(),
            kind: Some(kind),
            is_for_domain,
            tree,
        };
        let to = PeerTarget {
            host: host.clone(),
            address: member.peer_address,
        };
        self.peers.notify(to, request);
    }
}

/// Returns the key that identifies a notification on every host.
fn notification_key(kind: &Kind) -> String {
    match kind {
        Kind::Service(record) => format!("service/{}/{}", record.service, record.generation),
        Kind::Announcement(record) => format!("primary/{}/{}", record.service, record.term),
        Kind::Leaving(host) => format!("leaving/{}/{}", host.id, host.incarnation),
        // These are sent to a group's watchers and are never relayed.
        Kind::Suspicion(report) => format!("suspicion/{}/{}", report.service, report.term),
        Kind::Doubt(report) => format!("doubt/{}/{}", report.service, report.term),
        Kind::Liveness(report) => format!("liveness/{}/{}", report.service, report.term),
    }
}
