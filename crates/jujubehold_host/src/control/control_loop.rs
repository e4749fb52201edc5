//! The loop that keeps the control state and publishes the routing table.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::parse_service;
use log::{info, warn};
use tokio::sync::watch;

use crate::clock::Clock;
use crate::control::probe::{Probe, STATUS_QUERY};
use crate::observation::{Observation, ObservationReceiver};
use crate::platform::KvClient;
use crate::routing_table::{RoutingTable, ServiceRoute};

/// Where the platform's service holds the configuration of services.
pub(crate) const SERVICES_PREFIX: &str = "/jujubehold/services/";

/// How often the configuration is read.
const CONFIGURATION_INTERVAL: Duration = Duration::from_millis(500);

/// The control state of one host.
#[derive(Debug)]
pub struct Control {
    clock: Clock,
    kv: KvClient,
    services: BTreeMap<ServiceId, ServiceRoute>,
    probes: BTreeMap<(ServiceId, InstanceId), Probe>,
    probe_interval: Duration,
    probe_timeout: Duration,
    table: watch::Sender<Arc<RoutingTable>>,
    observations: ObservationReceiver,
}

impl Control {
    /// A control state that knows nothing yet.
    pub fn new(
        settings: &jujubehold_settings::HostSettings,
        clock: Clock,
        table: watch::Sender<Arc<RoutingTable>>,
        observations: ObservationReceiver,
    ) -> Self {
        let address = settings.platform_addresses[0];
        Self {
            clock,
            kv: KvClient::new(address, Duration::from_secs(2)),
            services: BTreeMap::new(),
            probes: BTreeMap::new(),
            probe_interval: settings.probe_interval,
            probe_timeout: settings.probe_timeout,
            table,
            observations,
        }
    }

    /// Runs until its future is dropped.
    pub async fn run(mut self) {
        let mut configuration = tokio::time::interval(CONFIGURATION_INTERVAL);
        let mut probing = tokio::time::interval(self.probe_interval);
        loop {
            tokio::select! {
                _ = configuration.tick() => self.read_configuration().await,
                _ = probing.tick() => self.probe_all().await,
                Some(observation) = self.observations.recv() => self.observe(observation),
            }
            self.publish();
        }
    }

    async fn read_configuration(&mut self) {
        let records = match self.kv.list(SERVICES_PREFIX).await {
            Ok((records, _)) => records,
            Err(error) => {
                warn!("{error}");
                return;
            }
        };
        for record in records {
            let text = String::from_utf8_lossy(&record.value);
            match parse_service(&String::from_utf8_lossy(&record.key), &text) {
                Ok(config) => self.apply(config),
                Err(faults) => warn!("a configuration was not taken: {faults}"),
            }
        }
    }

    fn apply(&mut self, config: ServiceConfig) {
        let known = self.services.get(&config.service);
        if known.is_some_and(|route| route.config.generation >= config.generation) {
            return;
        }
        info!(service = config.service.as_str(), generation = config.generation; "configuration");
        for (name, instance) in &config.instances {
            let key = (config.service.clone(), name.clone());
            self.probes
                .insert(key, Probe::new(instance.address, config.service.clone()));
        }
        let view = known.map(|route| route.view.clone()).unwrap_or_default();
        let service = config.service.clone();
        let route = ServiceRoute {
            config: Arc::new(config),
            view,
            owners: BTreeMap::new(),
        };
        self.services.insert(service, route);
    }

    async fn probe_all(&mut self) {
        for ((service, _), probe) in &mut self.probes {
            let sent_at = self.clock.now();
            let Some(status) = probe.ask(STATUS_QUERY, self.probe_timeout).await else {
                continue;
            };
            if let Some(route) = self.services.get_mut(service) {
                route.view.observe(sent_at, status);
            }
        }
    }

    fn observe(&mut self, observation: Observation) {
        match observation {
            Observation::Status {
                service,
                sent_at,
                status,
            } => {
                if let Some(route) = self.services.get_mut(&service) {
                    route.view.observe(sent_at, status);
                }
            }
            Observation::Unreachable { service, instance } => {
                warn!(service = service.as_str(), instance = instance.as_str(); "unreachable");
            }
        }
    }

    fn publish(&self) {
        let services = self
            .services
            .iter()
            .map(|(name, route)| (name.clone(), Arc::new(route.clone())))
            .collect();
        self.table.send_replace(Arc::new(RoutingTable {
            services,
            is_leaving: false,
        }));
    }
}
