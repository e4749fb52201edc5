//! Measures the cost of the whole configuration for one host, up to the target's number of
//! services.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubehold_core::config_store::{ConfigRecord, ConfigStore};
use jujubehold_core::prelude::*;
use jujubehold_settings::{format_service, parse_service};

use crate::capacity::slope::Slope;
use crate::error::LabError;
use crate::load::resident_bytes;

/// The measured sizes, in services; the last is the target.
const SIZES: [u32; 5] = [525, 1050, 2100, 3150, 4200];
const TARGET_SERVICES: f64 = 4200.0;
const INSTANCES_PER_SERVICE: u16 = 3;

/// Measures the parse time, text size, memory and comparison time of a configuration of each size.
///
/// # Errors
/// Returns an error if the system does not report the resident memory.
pub(crate) fn measure() -> Result<Vec<Slope>, LabError> {
    let mut parse_ms = Vec::new();
    let mut text_kb = Vec::new();
    let mut memory_mb = Vec::new();
    let mut compare_ms = Vec::new();
    for size in SIZES {
        let texts: Vec<_> = (0..size).map(service_text).collect();
        let bytes: usize = texts.iter().map(String::len).sum();
        let before = resident_bytes()?;
        let started_at = Instant::now();
        let store = store_of(&texts);
        parse_ms.push(point(size, millis(started_at.elapsed())));
        let growth = resident_bytes()?.saturating_sub(before);
        memory_mb.push(point(size, growth as f64 / 1e6));
        text_kb.push(point(size, bytes as f64 / 1e3));
        let versions = store.versions();
        let started_at = Instant::now();
        black_box(store.compare(&versions));
        compare_ms.push(point(size, millis(started_at.elapsed())));
        // The store is never freed, so that the next size's growth includes all of its own memory.
        std::mem::forget(store);
    }
    let slope = |what: &str, unit, points| Slope {
        what: what.into(),
        by: "services",
        unit,
        points,
        target: TARGET_SERVICES,
    };
    Ok(vec![
        slope("read and apply a whole configuration", "ms", parse_ms),
        slope("text of a whole configuration", "KB", text_kb),
        slope("memory of a whole configuration", "MB", memory_mb),
        slope("compare all generations with a peer", "ms", compare_ms),
    ])
}

fn store_of(texts: &[String]) -> ConfigStore {
    let mut store = ConfigStore::default();
    for text in texts {
        if let Ok(config) = parse_service("capacity", text) {
            store.merge(ConfigRecord {
                config,
                text: text.as_str().into(),
            });
        }
    }
    store
}

fn service_text(index: u32) -> String {
    let mut config = ServiceConfig {
        service: format!("service-{index:05}").into(),
        generation: 1,
        ..ServiceConfig::default()
    };
    for number in 0..INSTANCES_PER_SERVICE {
        let instance = InstanceConfig {
            address: SocketAddr::from(([127, 0, 0, 1], 5000 + number)),
            domain: format!("domain-{:02}", (index + u32::from(number)) % 26).into(),
            region: format!("region-{}", index % 7).into(),
            state: InstanceState::Active,
            connections: 20,
        };
        config
            .instances
            .insert(format!("i{number}").into(), instance);
    }
    format_service(&config)
}

fn point(size: u32, value: f64) -> (f64, f64) {
    (f64::from(size), value)
}

fn millis(duration: Duration) -> f64 {
    duration.as_secs_f64() * 1e3
}
