//! Measures the cost of selecting owners for one host, up to the target's number of hosts in a
//! failure domain.

use std::collections::BTreeSet;
use std::hint::black_box;
use std::time::Instant;

use jujubehold_core::ownership::{OWNERS_PER_INSTANCE, instance_key, owners};
use jujubehold_core::prelude::*;

use crate::capacity::slope::Slope;

/// The sizes measured, in hosts of one failure domain.
const SIZES: [u32; 5] = [6, 12, 24, 48, 92];
/// 2,400 hosts over 26 failure domains.
const TARGET_HOSTS: f64 = 92.0;
/// 12,600 instances over 26 failure domains.
const INSTANCES_PER_DOMAIN: u32 = 485;

/// Measures how long a host takes to select the owners of all instances of its domain, as it does
/// when a host joins or leaves the domain.
pub(crate) fn measure() -> Vec<Slope> {
    let mut points = Vec::new();
    for size in SIZES {
        let hosts: BTreeSet<HostId> = (0..size).map(|n| format!("host-{n:03}").into()).collect();
        let keys: Vec<_> = (0..INSTANCES_PER_DOMAIN)
            .map(|n| instance_key(&format!("service-{n:05}").into(), &"i0".into()))
            .collect();
        let started_at = Instant::now();
        for key in &keys {
            black_box(owners(key, &hosts, OWNERS_PER_INSTANCE));
        }
        points.push((f64::from(size), started_at.elapsed().as_secs_f64() * 1e3));
    }
    vec![Slope {
        what: "pick the owners of a domain's instances".into(),
        by: "hosts of the domain",
        unit: "ms",
        points,
        target: TARGET_HOSTS,
    }]
}
