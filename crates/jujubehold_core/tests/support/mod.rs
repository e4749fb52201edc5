//! Helpers that several of the core's tests share.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jujubehold_core::prelude::*;

/// Returns a time of `value` milliseconds.
pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// Returns the configuration of a group of three instances `a`, `b` and `c`, each in its own
/// failure domain.
pub(crate) fn config() -> ServiceConfig {
    let instance = |port, domain: &str| InstanceConfig {
        address: SocketAddr::from((Ipv4Addr::LOCALHOST, port)),
        domain: domain.into(),
        region: "south".into(),
        state: InstanceState::Active,
        connections: 20,
    };
    ServiceConfig {
        service: "shares".into(),
        generation: 1,
        instances: BTreeMap::from([
            ("a".into(), instance(1, "delta")),
            ("b".into(), instance(2, "gulf")),
            ("c".into(), instance(3, "piedmont")),
        ]),
        ..ServiceConfig::default()
    }
}

/// Returns the status of an instance that is not fenced and has applied all received positions.
pub(crate) fn status(
    instance: &str,
    role: &str,
    term: Term,
    position: Position,
    history: &str,
) -> InstanceStatus {
    InstanceStatus::parse(&format!(
        "instance={instance} role={role} term={term} received={position} applied={position} \
         fence_term=0 fence_nonce=0 last_commit=0 history={history}"
    ))
    .expect("the status text is well formed")
}
