//! The watch of the service configurations and of the list of hosts in the platform's key-value
//! service.
//!
//! Only a few hosts of each failure domain run it; see docs/notes/configuration-relay.md.

use std::collections::BTreeMap;

use jujubehold_core::backoff::Backoff;
use jujubehold_core::config_store::{ConfigRecord, PlatformValue};
use jujubehold_core::membership::Member;
use jujubehold_core::prelude::*;
use jujubehold_settings::parse_service;
use jujubehold_wire::kv;
use log::{info, warn};
use metrics::counter;
use tokio_stream::StreamExt;

use super::host_list::{HOSTS_PREFIX, parse_host};
use super::kv_client::{KvClient, KvError};
use crate::control::{ControlEvent, ControlSender};

/// The prefix of the keys that hold the configurations of services.
pub const SERVICES_PREFIX: &str = "/jujubehold/services/";

/// Returns the key that holds the configuration of `service`.
pub fn service_key(service: &ServiceId) -> String {
    format!("{SERVICES_PREFIX}{service}")
}

/// The delays between attempts while the platform's key-value service is unavailable. They are
/// randomized, because many hosts retry when it becomes available again.
const RETRY_BACKOFF: Backoff = Backoff {
    base: std::time::Duration::from_millis(200),
    limit: std::time::Duration::from_secs(5),
};

/// The value that stands for a deleted key.
const DELETED_VALUE: PlatformValue = PlatformValue {
    record: None,
    mod_revision: 0,
};

/// Reads all configurations and hosts, then sends every change to the control thread, until the
/// future is dropped.
///
/// Whenever the watch breaks, everything is read again after a delay, because the platform's
/// key-value service may have been restored to an older state in the meantime.
pub(crate) async fn watch_platform(mut kv: KvClient, events: ControlSender) {
    let mut failures = 0;
    loop {
        let mut hosts = BTreeMap::new();
        if let Err(error) = read_and_watch(&mut kv, &events, &mut hosts, &mut failures).await {
            counter!("jujubehold_platform_watch_retries_total").increment(1);
            if failures == 0 {
                warn!("{error}");
            }
        }
        tokio::time::sleep(RETRY_BACKOFF.delay(failures, rand::random())).await;
        failures = failures.saturating_add(1);
    }
}

async fn read_and_watch(
    kv: &mut KvClient,
    events: &ControlSender,
    hosts: &mut BTreeMap<HostId, Member>,
    failures: &mut u32,
) -> Result<(), KvError> {
    let (services, revision) = kv.list(SERVICES_PREFIX).await?;
    let (listed, hosts_revision) = kv.list(HOSTS_PREFIX).await?;
    *failures = 0;
    let values = services.iter().filter_map(parse_value).collect();
    let _ = events.send(ControlEvent::ServicesListed { services: values });
    hosts.extend(listed.iter().filter_map(parse_host_entry));
    send_hosts(events, hosts);
    let next = revision.min(hosts_revision) + 1;
    let mut watch = kv.watch(&[SERVICES_PREFIX, HOSTS_PREFIX], next).await?;
    info!(revision = next; "watching the platform's key-value service");
    while let Some(response) = watch.next().await {
        let response = response?;
        if response.canceled || response.compact_revision > 0 {
            break;
        }
        let mut has_host_change = false;
        for event in response.events {
            let is_put = event.r#type() == kv::event::EventType::Put;
            let Some(entry) = event.kv else {
                continue;
            };
            if entry.key.starts_with(HOSTS_PREFIX.as_bytes()) {
                apply_host_change(hosts, &entry, is_put);
                has_host_change = true;
            } else if let Some((service, value)) = parse_value(&entry) {
                let value = if is_put { value } else { DELETED_VALUE };
                let _ = events.send(ControlEvent::ServiceChanged { service, value });
            }
        }
        if has_host_change {
            send_hosts(events, hosts);
        }
    }
    Err(KvError::Unavailable("the watch ended".to_owned()))
}

fn apply_host_change(hosts: &mut BTreeMap<HostId, Member>, entry: &kv::KeyValue, is_put: bool) {
    if let Some((host, member)) = parse_host_entry(entry).filter(|_| is_put) {
        hosts.insert(host, member);
        return;
    }
    let key = String::from_utf8_lossy(&entry.key);
    if let Some(host) = key.strip_prefix(HOSTS_PREFIX) {
        hosts.remove(host);
    }
}

fn send_hosts(events: &ControlSender, hosts: &BTreeMap<HostId, Member>) {
    let hosts = hosts.values().cloned().collect();
    let _ = events.send(ControlEvent::HostsListed { hosts });
}

fn parse_host_entry(entry: &kv::KeyValue) -> Option<(HostId, Member)> {
    let key = String::from_utf8_lossy(&entry.key);
    let host = key.strip_prefix(HOSTS_PREFIX)?;
    let member = parse_host(host, &String::from_utf8_lossy(&entry.value))?;
    Some((host.into(), member))
}

fn parse_value(entry: &kv::KeyValue) -> Option<(ServiceId, PlatformValue)> {
    let key = String::from_utf8_lossy(&entry.key);
    let service = key.strip_prefix(SERVICES_PREFIX)?;
    let text = String::from_utf8_lossy(&entry.value);
    let value = PlatformValue {
        record: config_record(service, &text),
        mod_revision: entry.mod_revision,
    };
    Some((service.into(), value))
}

/// Parses a configuration; logs a warning and returns `None` if it is malformed or belongs to
/// another service.
pub(crate) fn config_record(service: &str, text: &str) -> Option<ConfigRecord> {
    match parse_service(service, text) {
        Ok(config) if config.service == service => Some(ConfigRecord {
            config,
            text: text.into(),
        }),
        Ok(config) => {
            warn!(
                "the key of service {service} holds the configuration of {}",
                config.service
            );
            None
        }
        Err(faults) => {
            warn!("rejected an invalid configuration: {faults}");
            None
        }
    }
}
