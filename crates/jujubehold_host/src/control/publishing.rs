//! The construction of the routing table, and how often it is published.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::ownership::{instance_key, owners};
use jujubehold_core::prelude::*;
use jujubehold_settings::AddressTranslation;

use super::control_loop::Control;
use super::group_driver::GroupDriver;
use crate::routing_table::{Owner, RoutingTable, ServiceRoute};

/// The minimum interval between two routing tables, unless an urgent change happened, such as a new
/// primary or a new configuration.
const MIN_PUBLISH_INTERVAL: Duration = Duration::from_millis(20);
/// How much each service adds to that interval, because a table lists every service.
const PUBLISH_INTERVAL_PER_SERVICE: Duration = Duration::from_micros(20);

impl Control {
    /// Returns when the next table is due; `None` if nothing changed since the last one.
    pub(super) fn publishing_due(&self) -> Option<Monotonic> {
        if self.is_publish_urgent {
            return Some(Monotonic::ZERO);
        }
        if self.changed_services.is_empty() {
            return None;
        }
        let count = u32::try_from(self.groups.len()).unwrap_or(u32::MAX);
        let interval = MIN_PUBLISH_INTERVAL + PUBLISH_INTERVAL_PER_SERVICE.saturating_mul(count);
        Some(self.published_at + interval)
    }

    /// Returns whether a new table is due.
    pub(super) fn is_publishing_due(&self) -> bool {
        self.publishing_due()
            .is_some_and(|due| due <= self.clock.now())
    }

    /// Builds the next table. Services that did not change keep their routes.
    pub(super) fn next_table(&mut self) -> RoutingTable {
        for service in std::mem::take(&mut self.changed_services) {
            if let Some(group) = self.groups.get(&service) {
                let route = Arc::new(route(group, &self.translation));
                self.routes.insert(service, route);
            }
        }
        self.is_publish_urgent = false;
        self.published_at = self.clock.now();
        RoutingTable {
            services: self.routes.clone(),
            is_leaving: self.is_leaving,
        }
    }

    /// Returns the owners of each of a service's instances.
    pub(super) fn owners_of(&self, config: &ServiceConfig) -> BTreeMap<InstanceId, Vec<Owner>> {
        config
            .instances
            .iter()
            .map(|(name, instance)| {
                let owners = self.instance_owners(&config.service, name, &instance.domain);
                (name.clone(), owners)
            })
            .collect()
    }

    fn instance_owners(
        &self,
        service: &ServiceId,
        instance: &InstanceId,
        domain: &DomainId,
    ) -> Vec<Owner> {
        let Some(hosts) = self.live_hosts.get(domain) else {
            return Vec::new();
        };
        let key = instance_key(service, instance);
        owners(&key, hosts, self.owners_per_instance)
            .iter()
            .filter_map(|host| self.membership.member(host))
            .map(|member| Owner {
                host: member.host.clone(),
                peer_address: member.peer_address,
                is_local: member.host == self.context.host,
            })
            .collect()
    }
}

fn route(group: &GroupDriver, translation: &AddressTranslation) -> ServiceRoute {
    ServiceRoute {
        config: with_translated_addresses(group.config(), translation),
        view: group.view().clone(),
        owners: group.owners().clone(),
    }
}

/// Returns the configuration with the addresses at which this host reaches the instances.
///
/// The traffic threads use these addresses only to connect.
fn with_translated_addresses(
    config: &Arc<ServiceConfig>,
    translation: &AddressTranslation,
) -> Arc<ServiceConfig> {
    if translation.is_empty() {
        return Arc::clone(config);
    }
    let mut config = ServiceConfig::clone(config);
    for instance in config.instances.values_mut() {
        instance.address = translation.translate(instance.address);
    }
    Arc::new(config)
}
