//! What several of the core's tests need.

use std::collections::BTreeMap;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use jujubehold_core::prelude::*;

/// A time in milliseconds.
pub(crate) fn ms(value: u64) -> Duration {
    Duration::from_millis(value)
}

/// A group of three instances `a`, `b` and `c`, each in a failure domain of its own.
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

/// A status that is not fenced, with all received positions applied.
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
    .expect("the text is well formed")
}
