//! What an installation is made of.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;

use crate::cluster::link_delays::LinkDelays;

/// The parts of an installation and the sizes that matter to a run.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// The failure domains; the instances of each service and the hosts are spread over them.
    pub domains: Vec<DomainId>,
    /// How many services there are.
    pub services: usize,
    /// How many instances each service has.
    pub instances_per_service: usize,
    /// How many hosts there are.
    pub hosts: usize,
    /// The service configuration that each service starts from.
    pub service: ServiceConfig,
    /// The host settings that each host starts from.
    pub host: HostSettings,
    /// How many connections an instance takes.
    pub connections: u32,
    /// How many statements an instance runs at once.
    pub slots: usize,
    /// What opening a connection to an instance costs.
    pub connect_cost: Duration,
    /// How long a statement holds its slot.
    pub service_time: Duration,
    /// How much later than received a replica's readers see a commit.
    pub apply_lag: Duration,
    /// What the links add; the fault proxy stands between the parts unless it is nothing.
    pub delays: LinkDelays,
}

impl Default for ClusterSettings {
    fn default() -> Self {
        Self {
            domains: vec!["delta".into(), "piedmont".into(), "gulf".into()],
            services: 1,
            instances_per_service: 3,
            hosts: 3,
            service: ServiceConfig::default(),
            host: HostSettings {
                traffic_threads: 1,
                ..HostSettings::default()
            },
            connections: 20,
            slots: 3,
            connect_cost: Duration::from_millis(12),
            service_time: Duration::ZERO,
            apply_lag: Duration::ZERO,
            delays: LinkDelays::default(),
        }
    }
}
