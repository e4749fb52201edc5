//! The documents that operators and instances keep in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_core::read_floor::Consistency;
use smol_str::SmolStr;

/// Names and formats of the documents in the store.
pub trait Directory: 'static {
    /// The key of the operators' configuration.
    const CONFIGURATION_KEY: &'static str;
    /// The prefix of the instances' keys.
    const INSTANCES_PREFIX: &'static str;

    /// Reads a configuration; `None` when it can't be read.
    fn configuration(value: &[u8]) -> Option<Configuration>;

    /// Reads an instance's entry; `None` when it names no instance to use.
    fn instance(key: &str, value: &[u8]) -> Option<InstanceEntry>;
}

jujubehold_core::value_type! {
    /// The operators' configuration.
    pub struct Configuration {
        /// Its version; a higher one replaces a lower one.
        pub version: u64,
        /// The databases by name.
        pub routes: BTreeMap<SmolStr, Route>,
        /// The services by name.
        pub services: BTreeMap<ServiceId, ServiceLimits>,
        /// How long a transaction may rest between statements.
        pub transaction_idle: Duration,
    }

    /// One database.
    pub struct Route {
        /// The service that has the data.
        pub service: ServiceId,
        /// What its readers are promised.
        pub consistency: Consistency,
        /// How long one statement may take.
        pub statement_timeout: Duration,
        /// In what time an operation has its full worth.
        pub objective: Duration,
        /// Its rank under load; 0 goes first.
        pub priority: u32,
    }

    /// What holds for each instance of a service.
    pub struct ServiceLimits {
        /// How many connections an instance takes, of all hosts together.
        pub max_connections: u32,
        /// How many replicas must have a commit before it is acknowledged.
        pub sync_replicas: u32,
    }

    /// One instance, as it says itself.
    pub struct InstanceEntry {
        /// Its name.
        pub id: InstanceId,
        /// Its service.
        pub service: ServiceId,
        /// Where it listens.
        pub address: SocketAddr,
        /// The failure domain that it is in.
        pub domain: DomainId,
        /// How many requests it runs at once.
        pub slots: u32,
        /// Whether it serves or leaves.
        pub lifecycle: InstanceLifecycle,
        /// Whether it leads, as it sees itself.
        pub role: Role,
        /// When it was started, in milliseconds since 1970; tells incarnations apart.
        pub born_ms: u64,
    }
}

jujubehold_core::key_type! {
    /// Whether an instance serves or leaves.
    pub enum InstanceLifecycle {
        /// It serves.
        Serving,
        /// It leaves soon and takes no new work.
        Leaving,
    }
}
