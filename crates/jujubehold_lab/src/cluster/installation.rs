//! Starts an installation and changes it during a run.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_host::platform::{KvClient, service_key};
use jujubehold_settings::{HostSettings, PeerSeed, format_service};
use jujubehold_standin::database::{Database, DatabaseSettings};
use jujubehold_standin::platform::{Platform, PlatformSettings};

use crate::cluster::cluster_settings::ClusterSettings;
use crate::cluster::free_address::free_address;
use crate::cluster::links::Links;
use crate::cluster::running_host::RunningHost;
use crate::error::LabError;

const PLATFORM_TIMEOUT: Duration = Duration::from_secs(5);

/// A running installation, whose parts stop when it is dropped.
pub struct Cluster {
    /// The hosts, in the order of their names.
    pub hosts: Vec<RunningHost>,
    /// The instances by service and name.
    pub instances: BTreeMap<(ServiceId, InstanceId), Database>,
    /// The platform's key-value service.
    pub platform: Platform,
    /// The configuration of each service, as submitted.
    pub configs: BTreeMap<ServiceId, ServiceConfig>,
    /// The links between the parts; empty without delays.
    pub links: Links,
    settings: ClusterSettings,
    host_settings: Vec<HostSettings>,
}

impl Cluster {
    /// Starts all parts and submits the configuration of every service.
    ///
    /// # Errors
    /// Returns an error if a part cannot be started.
    pub async fn start(settings: ClusterSettings) -> Result<Self, LabError> {
        let platform = Platform::start(PlatformSettings::default())
            .await
            .map_err(|error| start_error("the platform", &error))?;
        let links = Links::start(settings.delays).await?;
        let mut cluster = Self {
            hosts: Vec::new(),
            instances: BTreeMap::new(),
            platform,
            configs: BTreeMap::new(),
            links,
            settings,
            host_settings: Vec::new(),
        };
        for index in 0..cluster.settings.services {
            cluster.start_service(index).await?;
        }
        cluster.host_settings = cluster.plan_host_settings()?;
        if !cluster.settings.delays.is_zero() {
            cluster.open_links().await?;
        }
        for settings in cluster.host_settings.clone() {
            let host = cluster.start_host(settings).await?;
            cluster.hosts.push(host);
        }
        Ok(cluster)
    }

    /// Returns the name of the service with the number `index`.
    pub fn service_name(index: usize) -> ServiceId {
        format!("service-{index}").into()
    }

    /// Returns the caller address of the host with the number `index`.
    pub fn caller_address(&self, index: usize) -> SocketAddr {
        self.hosts[index % self.hosts.len()].caller_address
    }

    /// Returns the name of the instance that is the primary of the highest term and not stopped.
    pub fn primary(&self, service: &ServiceId) -> Option<InstanceId> {
        self.group(service)
            .map(|(name, database)| (name, database.status()))
            .filter(|(_, status)| status.is_primary_of(status.term))
            .max_by_key(|(_, status)| status.term)
            .map(|(name, _)| name.clone())
    }

    /// Returns the instances of one service.
    pub fn group<'a>(
        &'a self,
        service: &'a ServiceId,
    ) -> impl Iterator<Item = (&'a InstanceId, &'a Database)> {
        self.instances
            .iter()
            .filter(move |((owner, _), _)| owner == service)
            .map(|((_, name), database)| (name, database))
    }

    /// Returns one instance.
    pub fn instance(&self, service: &ServiceId, name: &InstanceId) -> Option<&Database> {
        self.instances.get(&(service.clone(), name.clone()))
    }

    /// Stops the host with the number `index` and starts it again with the same settings.
    ///
    /// # Errors
    /// Returns an error if the host cannot start.
    pub async fn restart_host(&mut self, index: usize) -> Result<(), LabError> {
        self.hosts.remove(index).stop();
        let host = self.start_host(self.host_settings[index].clone()).await?;
        self.hosts.insert(index, host);
        Ok(())
    }

    /// Submits a changed configuration with the next generation, which it returns.
    ///
    /// # Errors
    /// Returns an error if the platform's key-value service is unreachable or refuses the write.
    pub async fn submit(&mut self, mut config: ServiceConfig) -> Result<Generation, LabError> {
        let key = service_key(&config.service);
        let mut kv = KvClient::new(self.platform.address(), PLATFORM_TIMEOUT);
        let failed = |detail: String| LabError::Start {
            part: "a configuration",
            detail,
        };
        let record = kv
            .get(&key)
            .await
            .map_err(|error| failed(error.to_string()))?;
        let expected = record.map_or(0, |record| record.mod_revision);
        config.generation += 1;
        let text = format_service(&config).into_bytes();
        let is_written = kv
            .put_if(&key, expected, text)
            .await
            .map_err(|error| failed(error.to_string()))?;
        if !is_written {
            return Err(failed("another change came first".into()));
        }
        let generation = config.generation;
        self.configs.insert(config.service.clone(), config);
        Ok(generation)
    }

    async fn start_service(&mut self, index: usize) -> Result<(), LabError> {
        let service = Self::service_name(index);
        let mut config = ServiceConfig {
            service: service.clone(),
            ..self.settings.service.clone()
        };
        let mut primary = None;
        for number in 0..self.settings.instances_per_service {
            let name = InstanceId::from(format!("i{number}"));
            let database = Database::start(DatabaseSettings {
                name: name.clone(),
                primary,
                connection_limit: self.settings.connections as usize,
                slots: self.settings.slots,
                connect_cost: self.settings.connect_cost,
                service_time: self.settings.service_time,
                apply_lag: self.settings.apply_lag,
                ..DatabaseSettings::default()
            })
            .await
            .map_err(|error| start_error("an instance", &error))?;
            let domain = self.domain(number + index);
            let address = if self.settings.delays.is_zero() {
                database.address()
            } else {
                self.links.open_to_instance(database.address()).await?
            };
            primary.get_or_insert(address);
            let instance = InstanceConfig {
                address,
                domain,
                region: "south".into(),
                state: InstanceState::Active,
                connections: self.settings.connections,
            };
            config.instances.insert(name.clone(), instance);
            self.instances.insert((service.clone(), name), database);
        }
        self.submit(config).await?;
        Ok(())
    }

    async fn start_host(&mut self, settings: HostSettings) -> Result<RunningHost, LabError> {
        let mut host = RunningHost::start(settings)?;
        if !self.settings.delays.is_zero() {
            host.caller_address = self.links.open_for_callers(host.caller_address).await?;
        }
        Ok(host)
    }

    /// Sets the address translation of each host so that it reaches the hosts of other failure
    /// domains through links and the instances of its own domain directly.
    async fn open_links(&mut self) -> Result<(), LabError> {
        let others: Vec<_> = self.host_settings.iter().map(seed_of).collect();
        for settings in &mut self.host_settings {
            let translation = &mut settings.address_translation;
            for other in others
                .iter()
                .filter(|other| other.domain != settings.domain)
            {
                let link_address = self
                    .links
                    .open_to_host(&settings.host, other.peer_address)
                    .await?;
                translation.add(other.peer_address, link_address);
            }
            for ((service, name), database) in &self.instances {
                let instance = &self.configs[service].instances[name];
                if instance.domain == settings.domain {
                    translation.add(instance.address, database.address());
                }
            }
        }
        Ok(())
    }

    fn plan_host_settings(&self) -> Result<Vec<HostSettings>, LabError> {
        let mut all = Vec::new();
        for index in 0..self.settings.hosts {
            all.push(HostSettings {
                host: format!("host-{index:03}").into(),
                domain: self.domain(index),
                region: "south".into(),
                caller_address: free_address()?,
                peer_address: free_address()?,
                platform_addresses: vec![self.platform.address()],
                ..self.settings.host.clone()
            });
        }
        let seeds: Vec<_> = all.iter().map(seed_of).collect();
        for settings in &mut all {
            settings.peer_seeds = seeds
                .iter()
                .filter(|seed| seed.host != settings.host)
                .cloned()
                .collect();
        }
        Ok(all)
    }

    fn domain(&self, index: usize) -> DomainId {
        self.settings.domains[index % self.settings.domains.len()].clone()
    }
}

fn seed_of(settings: &HostSettings) -> PeerSeed {
    PeerSeed {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        peer_address: settings.peer_address,
    }
}

fn start_error(part: &'static str, error: &std::io::Error) -> LabError {
    LabError::Start {
        part,
        detail: error.to_string(),
    }
}
