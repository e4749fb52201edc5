//! The handling of notifications, which hosts send to each other immediately.
//!
//! See docs/notes/configuration-relay.md.

use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::membership::MembershipEvent;
use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use jujubehold_wire::peer::notify_request::Kind;

use super::control_loop::Control;
use super::relaying::RelayMode;
use crate::peer::member_of;
use crate::platform::config_record;

impl Control {
    /// Handles a notification, and relays it if the sender requested that.
    pub(super) fn on_notified(&mut self, request: peer::NotifyRequest) {
        let relay_mode = RelayMode::of(&request);
        let Some(kind) = request.kind else {
            return;
        };
        let (host, domain) = (request.host.into(), request.domain.into());
        let is_current = match &kind {
            Kind::Suspicion(suspicion) => {
                let term = suspicion.term;
                let event = FailoverEvent::SuspicionReceived { host, domain, term };
                self.on_group_event(&suspicion.service.as_str().into(), event);
                false
            }
            Kind::Doubt(doubt) => {
                let event = FailoverEvent::DoubtReceived { term: doubt.term };
                self.on_group_event(&doubt.service.as_str().into(), event);
                false
            }
            Kind::Liveness(liveness) => {
                let term = liveness.term;
                let event = FailoverEvent::LivenessReceived { host, domain, term };
                self.on_group_event(&liveness.service.as_str().into(), event);
                false
            }
            Kind::Announcement(record) => {
                self.on_announced(record);
                record.term >= self.known_term(&record.service.as_str().into())
            }
            Kind::Service(record) => {
                self.merge_message(record);
                record.generation >= self.generation_of(&record.service)
            }
            Kind::Leaving(host) => {
                let hosts: Vec<_> = member_of(host).into_iter().collect();
                self.on_membership(MembershipEvent::PeerStateReceived { hosts });
                true
            }
        };
        // Hosts that get the notification through this host may not know what this one already
        // knows.
        match relay_mode {
            RelayMode::Tree(tree) if is_current => self.relay_along(&tree, &kind),
            RelayMode::OwnDomain if is_current => self.notify_own_domain_once(&kind),
            RelayMode::Tree(_) | RelayMode::OwnDomain | RelayMode::NoRelay => {}
        }
    }

    /// Applies a group record if its term is higher than the known one.
    pub(super) fn on_announced(&mut self, record: &peer::GroupRecord) {
        let service = record.service.as_str().into();
        if record.term <= self.known_term(&service) || record.primary.is_empty() {
            return;
        }
        let event = FailoverEvent::Announced {
            term: record.term,
            primary: record.primary.as_str().into(),
        };
        self.on_group_event(&service, event);
    }

    /// Parses and merges a service record from a peer; returns whether it became current.
    pub(super) fn merge_message(&mut self, record: &peer::ServiceRecord) -> bool {
        if self.generation_of(&record.service) > record.generation {
            return false;
        }
        config_record(&record.service, &record.text).is_some_and(|record| self.merge_record(record))
    }

    /// Returns the current generation of a service; 0 if the service is unknown.
    fn generation_of(&self, service: &str) -> Generation {
        self.store
            .config(service)
            .map_or(0, |config| config.generation)
    }

    /// Returns the known term of a service's primary; 0 if the service is unknown.
    fn known_term(&self, service: &ServiceId) -> Term {
        self.groups
            .get(service)
            .map_or(0, |group| group.view().term)
    }
}
