//! Identifiers of hosts, upstreams and requests, and the numbers that order their histories.

use std::time::Duration;

use smol_str::SmolStr;

/// The name of an entry host.
pub type HostId = SmolStr;

/// The name of a failure domain.
pub type DomainId = SmolStr;

/// The name of a region, a set of failure domains.
pub type RegionId = SmolStr;

/// The name of a database service: one primary and its replicas.
pub type ServiceId = SmolStr;

/// The name of a customer: an organization on whose behalf callers send requests.
pub type CustomerId = SmolStr;

/// The name of one upstream instance within its service.
pub type InstanceId = SmolStr;

/// The identifier of one statement, used in logs and across hosts.
pub type RequestId = SmolStr;

/// The term of a primary; a primary of a higher term replaces one of a lower term.
pub type Term = u64;

/// A position in a group's replication log: the number of commits up to and including it.
pub type Position = u64;

/// A value that distinguishes one failover attempt or configuration submission from every other.
pub type Nonce = u64;

/// The generation of a service's configuration, incremented at each accepted change.
pub type Generation = u64;

/// A time on one host's monotonic clock, measured from the host's start.
///
/// The core reads no clock; see docs/ARCHITECTURE.md.
pub type Monotonic = Duration;
