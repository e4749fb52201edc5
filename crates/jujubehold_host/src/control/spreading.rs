//! How news reaches the hosts of every failure domain.
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

/// What the receiver of a notification does with it besides taking it in.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) enum HandOn {
    /// It keeps it.
    Keep,
    /// It passes it on along a tree over its failure domain.
    Along(RelayTree),
    /// It tells its failure domain.
    ToItsDomain,
}

impl HandOn {
    /// What a notification asks its receiver for.
    pub(super) fn of(request: &peer::NotifyRequest) -> Self {
        match &request.tree {
            Some(tree) => Self::Along(RelayTree {
                root: tree.root.as_str().into(),
                other_root: tree.other_root.as_str().into(),
                is_reversed: tree.is_reversed,
            }),
            None if request.is_for_domain => Self::ToItsDomain,
            None => Self::Keep,
        }
    }
}

impl Control {
    /// Notifies the hosts of this failure domain, and relays of every other.
    pub(super) fn notify_domains(&mut self, kind: &Kind) {
        let relays: Vec<_> = self
            .live_hosts
            .iter()
            .filter(|(domain, _)| **domain != self.domain)
            .flat_map(|(domain, hosts)| config_watchers(domain, hosts, CONFIG_WATCHERS_PER_DOMAIN))
            .collect();
        for host in relays {
            self.notify(&host, kind.clone(), HandOn::ToItsDomain);
        }
        self.notify_own_domain(kind);
    }

    /// Begins to tell the hosts of this failure domain.
    pub(super) fn notify_own_domain(&mut self, kind: &Kind) {
        let Some(hosts) = self.live_hosts.get(&self.domain) else {
            return;
        };
        let own = &self.owner.host;
        let relays = config_watchers(&self.domain, hosts, CONFIG_WATCHERS_PER_DOMAIN);
        let key = news_key(kind);
        let copies = initial_copies(&key, hosts, own, &relays);
        for tree in RelayTree::rooted_at(own, &relays) {
            self.relay_memory.insert(&key, &tree);
        }
        for copy in copies {
            let hand_on = copy.tree.map_or(HandOn::Keep, HandOn::Along);
            self.notify(&copy.to, kind.clone(), hand_on);
        }
    }

    /// Begins to tell the hosts of this failure domain, unless this host did so before.
    pub(super) fn notify_own_domain_once(&mut self, kind: &Kind) {
        let Some(hosts) = self.live_hosts.get(&self.domain) else {
            return;
        };
        let relays = config_watchers(&self.domain, hosts, CONFIG_WATCHERS_PER_DOMAIN);
        let key = news_key(kind);
        let mut trees = RelayTree::rooted_at(&self.owner.host, &relays).into_iter();
        if trees.any(|tree| self.relay_memory.insert(&key, &tree)) {
            self.notify_own_domain(kind);
        }
    }

    /// Passes a notification on along the tree that it came by.
    pub(super) fn pass_on(&mut self, tree: &RelayTree, kind: &Kind) {
        let key = news_key(kind);
        if !self.relay_memory.insert(&key, tree) {
            return;
        }
        if let Some(hosts) = self.live_hosts.get(&self.domain) {
            for to in tree.receivers(&key, hosts, &self.owner.host) {
                counter!("jujubehold_relayed_notifications_total").increment(1);
                self.notify(&to, kind.clone(), HandOn::Along(tree.clone()));
            }
        }
        // The other tree may still wait for this host to learn the news by itself.
        if tree.other_root == self.owner.host && tree.root != self.owner.host {
            self.notify_own_domain_once(kind);
        }
    }

    /// Notifies one other host.
    pub(super) fn notify(&mut self, host: &HostId, kind: Kind, hand_on: HandOn) {
        if *host == self.owner.host {
            return;
        }
        let Some(member) = self.membership.member(host) else {
            return;
        };
        let is_for_domain = hand_on == HandOn::ToItsDomain;
        let tree = match hand_on {
            HandOn::Along(tree) => Some(peer::RelayTree {
                root: tree.root.to_string(),
                other_root: tree.other_root.to_string(),
                is_reversed: tree.is_reversed,
            }),
            HandOn::Keep | HandOn::ToItsDomain => None,
        };
        let request = peer::NotifyRequest {
            host: self.owner.host.to_string(),
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

/// What stands for a piece of news at every host.
fn news_key(kind: &Kind) -> String {
    match kind {
        Kind::Service(record) => format!("service/{}/{}", record.service, record.generation),
        Kind::Announcement(record) => format!("primary/{}/{}", record.service, record.term),
        Kind::Leaving(host) => format!("leaving/{}/{}", host.id, host.incarnation),
        // These go to a group's watchers and are never passed on.
        Kind::Suspicion(report) => format!("suspicion/{}/{}", report.service, report.term),
        Kind::Doubt(report) => format!("doubt/{}/{}", report.service, report.term),
        Kind::Liveness(report) => format!("liveness/{}/{}", report.service, report.term),
    }
}
