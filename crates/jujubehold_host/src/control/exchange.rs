//! Exchanges, by which two hosts synchronize configurations, group records and membership.
//!
//! See docs/notes/configuration-relay.md.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use jujubehold_core::config_version::ConfigVersion;
use jujubehold_core::membership::{Member, MembershipEvent};
use jujubehold_wire::peer;

use super::control_event::ControlEvent;
use super::control_loop::Control;
use crate::peer::{Digests, PeerTarget, bucket_of, host_message, member_of};

impl Control {
    /// Starts an exchange with a host. A configuration watcher also starts one with a host of
    /// another failure domain, which is the only way for updates to spread while one of the two
    /// domains is cut off from the platform.
    pub(super) fn start_exchange(&mut self, with: SocketAddr) {
        if let Some(with) = self.target_at(with) {
            self.send_exchange(with, self.digest_request());
        }
        if self.is_config_watcher()
            && let Some(other) = self.random_host_of_other_domain()
        {
            self.send_exchange(other, self.digest_request());
        }
    }

    /// Returns the member or seed with an address.
    fn target_at(&self, address: SocketAddr) -> Option<PeerTarget> {
        let has_address = |member: &&Member| member.peer_address == address;
        let member = self.membership.members().find(has_address);
        let seed = || self.seeds.iter().find(|seed| seed.peer_address == address);
        let host = match member {
            Some(member) => member.host.clone(),
            None => seed()?.host.clone(),
        };
        Some(PeerTarget { host, address })
    }

    fn random_host_of_other_domain(&self) -> Option<PeerTarget> {
        let others: Vec<_> = self
            .membership
            .members()
            .filter(|member| member.is_live() && member.domain != self.domain)
            .collect();
        if others.is_empty() {
            return None;
        }
        let index = rand::random_range(0..others.len());
        Some(PeerTarget {
            host: others[index].host.clone(),
            address: others[index].peer_address,
        })
    }

    fn digest_request(&self) -> peer::ExchangeRequest {
        peer::ExchangeRequest {
            host: self.context.host.to_string(),
            digest: self.digests().combined(),
            // The sender includes itself, so that a new host becomes known by its first exchange.
            hosts: vec![host_message(self.membership.own())],
            ..peer::ExchangeRequest::default()
        }
    }

    fn send_exchange(&mut self, with: PeerTarget, request: peer::ExchangeRequest) {
        let events = self.events_sender.clone();
        self.peers.exchange(with.clone(), request, move |response| {
            let response = Box::new(response);
            let _ = events.send(ControlEvent::ExchangeResponse { with, response });
        });
    }

    /// Handles a peer's exchange request and returns the response.
    pub(super) fn respond_to_exchange(
        &mut self,
        request: &peer::ExchangeRequest,
    ) -> peer::ExchangeResponse {
        let is_digest_only = request.buckets.is_empty() && request.services.is_empty();
        let their_digest = request.digest;
        let theirs = request
            .services
            .iter()
            .map(|record| (record.service.as_str().into(), version_of(record)))
            .collect();
        self.apply_records(&request.hosts, &request.groups, &request.services);
        if is_digest_only {
            let digests = self.digests();
            let is_same = digests.combined() == their_digest;
            let bucket_digests = if is_same {
                Vec::new()
            } else {
                digests.buckets().to_vec()
            };
            return peer::ExchangeResponse {
                bucket_digests,
                ..peer::ExchangeResponse::default()
            };
        }
        let buckets: BTreeSet<_> = request.buckets.iter().copied().collect();
        let difference = self.store.compare(&theirs);
        let services = difference
            .offered
            .iter()
            .filter(|service| is_in(&buckets, service))
            .filter_map(|service| self.service_message(service))
            .collect();
        peer::ExchangeResponse {
            hosts: self.host_messages(&buckets),
            groups: self.group_messages(&buckets),
            services,
            wanted: difference.wanted.iter().map(ToString::to_string).collect(),
            ..peer::ExchangeResponse::default()
        }
    }

    /// Handles a peer's exchange response, and sends the next request if one is needed.
    pub(super) fn on_exchanged(&mut self, with: PeerTarget, response: &peer::ExchangeResponse) {
        self.end_discovery();
        self.apply_records(&response.hosts, &response.groups, &response.services);
        if !response.bucket_digests.is_empty() {
            let buckets = self.digests().differing(&response.bucket_digests);
            if !buckets.is_empty() {
                let request = self.bucket_request(buckets);
                self.send_exchange(with, request);
            }
            return;
        }
        let wanted: Vec<_> = response
            .wanted
            .iter()
            .filter_map(|service| self.service_message(&service.as_str().into()))
            .collect();
        if !wanted.is_empty() {
            let request = peer::ExchangeRequest {
                host: self.context.host.to_string(),
                services: wanted,
                ..peer::ExchangeRequest::default()
            };
            self.send_exchange(with, request);
        }
    }

    fn bucket_request(&self, buckets: Vec<u32>) -> peer::ExchangeRequest {
        let wanted: BTreeSet<_> = buckets.iter().copied().collect();
        let services = self
            .store
            .versions()
            .into_iter()
            .filter(|(service, _)| is_in(&wanted, service))
            .map(|(service, version)| peer::ServiceRecord {
                service: service.to_string(),
                generation: version.generation,
                text: String::new(),
                text_digest: version.digest,
            })
            .collect();
        peer::ExchangeRequest {
            host: self.context.host.to_string(),
            hosts: self.host_messages(&wanted),
            groups: self.group_messages(&wanted),
            services,
            buckets,
            ..peer::ExchangeRequest::default()
        }
    }

    fn apply_records(
        &mut self,
        hosts: &[peer::Host],
        groups: &[peer::GroupRecord],
        services: &[peer::ServiceRecord],
    ) {
        let hosts: Vec<_> = hosts.iter().filter_map(member_of).collect();
        if !hosts.is_empty() {
            self.on_membership(MembershipEvent::PeerStateReceived { hosts });
        }
        // A record without a text carries only its version.
        for record in services.iter().filter(|record| !record.text.is_empty()) {
            if self.merge_message(record) {
                self.relay_config(&record.service.as_str().into());
            }
        }
        for record in groups {
            self.on_announced(record);
        }
    }

    fn digests(&self) -> Digests {
        let mut digests = Digests::default();
        for (service, group) in &self.groups {
            let version = self.store.version(service);
            digests.add_service(service, version, group.view().term);
        }
        for member in self.membership.members() {
            digests.add_host(member);
        }
        digests
    }

    fn host_messages(&self, buckets: &BTreeSet<u32>) -> Vec<peer::Host> {
        self.membership
            .members()
            .filter(|member| is_in(buckets, &member.host))
            .map(host_message)
            .collect()
    }

    fn group_messages(&self, buckets: &BTreeSet<u32>) -> Vec<peer::GroupRecord> {
        self.groups
            .iter()
            .filter(|(service, _)| is_in(buckets, service))
            .filter_map(|(service, group)| {
                let view = group.view();
                Some(peer::GroupRecord {
                    service: service.to_string(),
                    term: view.term,
                    primary: view.primary.as_ref()?.to_string(),
                })
            })
            .collect()
    }
}

fn version_of(record: &peer::ServiceRecord) -> ConfigVersion {
    ConfigVersion {
        generation: record.generation,
        digest: record.text_digest,
    }
}

fn is_in(buckets: &BTreeSet<u32>, name: &str) -> bool {
    u32::try_from(bucket_of(name)).is_ok_and(|bucket| buckets.contains(&bucket))
}
