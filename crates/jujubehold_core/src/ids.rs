//! Names and numbers that tell hosts, upstreams and histories apart.

use std::time::Duration;

use smol_str::SmolStr;

/// The name of an entry host.
pub type HostId = SmolStr;

/// The name of a failure domain.
pub type DomainId = SmolStr;

/// The name of a region, a set of failure domains.
pub type RegionId = SmolStr;

/// The name of a database service, one primary and its replicas.
pub type ServiceId = SmolStr;

/// The name of one upstream instance within its service.
pub type InstanceId = SmolStr;

/// The name that follows one statement through logs and across hosts.
pub type RequestId = SmolStr;

/// The term of a primary; a higher one replaces a lower one.
pub type Term = u64;

/// A position in a group's replication log: the count of commits before and at it.
pub type Position = u64;

/// A value that tells one attempt at an agreement from every other attempt.
pub type Nonce = u64;

/// The number of a configuration, one higher at each accepted change of a service.
pub type Generation = u64;

/// A time of one host's monotonic clock, counted from the host's start.
///
/// The core reads no clock; see docs/ARCHITECTURE.md.
pub type Monotonic = Duration;
