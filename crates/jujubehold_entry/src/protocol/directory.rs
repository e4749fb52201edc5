//! The configuration and the instance entries that operators and instances keep in the store.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::*;
use jujubehold_core::read_floor::Consistency;
use smol_str::SmolStr;

use super::customers::{Customers, InvalidCustomers};

/// The keys and formats of the documents in the store.
pub trait Directory: 'static {
    /// The key of the operators' configuration.
    const CONFIGURATION_KEY: &'static str;
    /// The prefix of the instances' keys.
    const INSTANCES_PREFIX: &'static str;

    /// Parses a configuration.
    ///
    /// # Errors
    /// Returns an error if the document is invalid. No message contains a caller's key.
    fn configuration(value: &[u8]) -> Result<Configuration, InvalidConfiguration>;

    /// Parses an instance's entry; `None` if it describes no usable instance, or if its id or the
    /// name of its service is not a [`Word`](super::Word).
    fn instance(key: &str, value: &[u8]) -> Option<InstanceEntry>;
}

/// Why a configuration is invalid.
#[derive(Debug, thiserror::Error)]
pub enum InvalidConfiguration {
    /// The document does not have the expected form.
    #[error("the document can't be read, at line {line}, column {column}")]
    Unreadable {
        /// The line.
        line: usize,
        /// The column.
        column: usize,
    },
    /// The customers contradict each other.
    #[error(transparent)]
    Customers(#[from] InvalidCustomers),
}

jujubehold_core::value_type! {
    /// The operators' configuration.
    pub struct Configuration {
        /// The version; a higher one replaces a lower one.
        pub version: u64,
        /// The databases by name.
        pub routes: BTreeMap<SmolStr, Route>,
        /// The services by name.
        pub services: BTreeMap<ServiceId, ServiceLimits>,
        /// How long a transaction may be idle between statements.
        pub transaction_idle: Duration,
        /// The customers; `None` if callers are not identified.
        pub customers: Option<Customers>,
    }

    /// One database.
    pub struct Route {
        /// The service that has the data.
        pub service: ServiceId,
        /// The consistency of reads.
        pub consistency: Consistency,
        /// The timeout of one statement.
        pub statement_timeout: Duration,
        /// The time within which an operation should complete.
        pub objective: Duration,
        /// The priority under load; 0 is the highest.
        pub priority: u32,
        /// Whether callers that no key identifies may use the database.
        pub is_public: bool,
    }

    /// The limits of each instance of a service.
    pub struct ServiceLimits {
        /// The maximum number of connections to an instance from all hosts together.
        pub max_connections: u32,
        /// The number of replicas that must confirm a commit before it is acknowledged.
        pub sync_replicas: u32,
    }

    /// One instance, as described by its own entry.
    pub struct InstanceEntry {
        /// Its name.
        pub id: InstanceId,
        /// Its service.
        pub service: ServiceId,
        /// Where it listens.
        pub address: SocketAddr,
        /// The failure domain that it is in.
        pub domain: DomainId,
        /// The number of requests that the instance runs concurrently.
        pub slots: u32,
        /// Whether the instance serves or is leaving.
        pub lifecycle: InstanceLifecycle,
        /// The role that the instance reports for itself.
        pub role: Role,
        /// The start time in milliseconds since the Unix epoch, which distinguishes incarnations.
        pub born_ms: u64,
    }
}

jujubehold_core::key_type! {
    /// Whether an instance serves or is leaving.
    pub enum InstanceLifecycle {
        /// The instance serves.
        Serving,
        /// The instance will stop soon and takes no new work.
        Leaving,
    }
}
