//! How the routing table is put together and how often.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::ownership::{instance_key, owners};
use jujubehold_core::prelude::*;
use jujubehold_settings::AddressTranslation;

use super::control_loop::Control;
use super::group_driver::GroupDriver;
use crate::routing_table::{Owner, RoutingTable, ServiceRoute};

/// The least time between two tables while nothing but samples changed.
const MIN_INTERVAL: Duration = Duration::from_millis(20);
/// What each service adds to that, since a table names every service.
const INTERVAL_PER_SERVICE: Duration = Duration::from_micros(20);

impl Control {
    /// When the next table is due; `None` when it would say the same as the last one.
    pub(super) fn publishing_due(&self) -> Option<Monotonic> {
        if self.is_urgent {
            return Some(Monotonic::ZERO);
        }
        if self.dirty.is_empty() {
            return None;
        }
        let count = u32::try_from(self.groups.len()).unwrap_or(u32::MAX);
        let interval = MIN_INTERVAL + INTERVAL_PER_SERVICE.saturating_mul(count);
        Some(self.published_at + interval)
    }

    /// Whether a new table is due.
    pub(super) fn is_publishing_due(&self) -> bool {
        self.publishing_due()
            .is_some_and(|due| due <= self.clock.now())
    }

    /// The next table. Services about which nothing changed keep their routes.
    pub(super) fn next_table(&mut self) -> RoutingTable {
        for service in std::mem::take(&mut self.dirty) {
            if let Some(group) = self.groups.get(&service) {
                let route = Arc::new(route(group, &self.translation));
                self.routes.insert(service, route);
            }
        }
        self.is_urgent = false;
        self.published_at = self.clock.now();
        RoutingTable {
            services: self.routes.clone(),
            is_leaving: self.is_leaving,
        }
    }

    /// The owners of each of a service's instances.
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
                is_local: member.host == self.owner.host,
            })
            .collect()
    }
}

fn route(group: &GroupDriver, translation: &AddressTranslation) -> ServiceRoute {
    ServiceRoute {
        config: reached(group.config(), translation),
        view: group.view().clone(),
        owners: group.owners().clone(),
    }
}

/// The configuration with the addresses under which this host reaches the instances.
///
/// Traffic uses the addresses for nothing but its connections.
fn reached(config: &Arc<ServiceConfig>, translation: &AddressTranslation) -> Arc<ServiceConfig> {
    if translation.is_empty() {
        return Arc::clone(config);
    }
    let mut config = ServiceConfig::clone(config);
    for instance in config.instances.values_mut() {
        instance.address = translation.translate(instance.address);
    }
    Arc::new(config)
}
