//! What hosts tell each other at once.
//!
//! See docs/notes/configuration-relay.md.

use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::membership::MembershipEvent;
use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use jujubehold_wire::peer::notify_request::Kind;

use super::control_loop::Control;
use super::spreading::HandOn;
use crate::peer::member_of;
use crate::platform::config_record;

impl Control {
    /// Takes in a notification, and passes it on where that is asked for.
    pub(super) fn on_notified(&mut self, request: peer::NotifyRequest) {
        let hand_on = HandOn::of(&request);
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
                record.term >= self.term_of(&record.service.as_str().into())
            }
            Kind::Service(record) => {
                self.offer_message(record);
                record.generation >= self.generation_of(&record.service)
            }
            Kind::Leaving(host) => {
                let hosts: Vec<_> = member_of(host).into_iter().collect();
                self.on_membership(MembershipEvent::PeerStateReceived { hosts });
                true
            }
        };
        // What is already known here may be news to those that hear it through this host.
        match hand_on {
            HandOn::Along(tree) if is_current => self.pass_on(&tree, &kind),
            HandOn::ToItsDomain if is_current => self.notify_own_domain_once(&kind),
            HandOn::Along(_) | HandOn::ToItsDomain | HandOn::Keep => {}
        }
    }

    /// Takes in a primary that is newer than the one known.
    pub(super) fn on_announced(&mut self, record: &peer::GroupRecord) {
        let service = record.service.as_str().into();
        if record.term <= self.term_of(&service) || record.primary.is_empty() {
            return;
        }
        let event = FailoverEvent::Announced {
            term: record.term,
            primary: record.primary.as_str().into(),
        };
        self.on_group_event(&service, event);
    }

    pub(super) fn offer_message(&mut self, record: &peer::ServiceRecord) -> bool {
        if self.generation_of(&record.service) > record.generation {
            return false;
        }
        config_record(&record.service, &record.text).is_some_and(|record| self.offer(record))
    }

    /// The generation in force; 0 when the service is not known.
    fn generation_of(&self, service: &str) -> Generation {
        self.store
            .config(service)
            .map_or(0, |config| config.generation)
    }

    fn term_of(&self, service: &ServiceId) -> Term {
        self.groups
            .get(service)
            .map_or(0, |group| group.view().term)
    }
}
