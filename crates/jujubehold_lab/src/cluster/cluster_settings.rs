//! The settings of an installation.

use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;

use crate::cluster::link_delays::LinkDelays;

/// The parts of an installation and their sizes.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ClusterSettings {
    /// The failure domains; the instances of each service and the hosts are spread over them.
    pub domains: Vec<DomainId>,
    /// The number of services.
    pub services: usize,
    /// The number of instances of each service.
    pub instances_per_service: usize,
    /// The number of hosts.
    pub hosts: usize,
    /// The configuration on which that of each service is based.
    pub service: ServiceConfig,
    /// The settings on which those of each host are based.
    pub host: HostSettings,
    /// The number of connections that an instance accepts.
    pub connections: u32,
    /// The number of statements that an instance runs at once.
    pub slots: usize,
    /// How long opening a connection to an instance takes.
    pub connect_cost: Duration,
    /// How long a statement holds its slot.
    pub service_time: Duration,
    /// How long after its receipt a commit becomes visible to a replica's readers.
    pub apply_lag: Duration,
    /// The delays that the links add. The fault proxy is placed between the parts unless they are
    /// zero.
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
