//! How the control thread applies, relays and restores service configurations.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::config_store::{ConfigRecord, MergeOutcome, PlatformAction, PlatformValue};
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::ownership::{CONFIG_WATCHERS_PER_DOMAIN, config_watchers};
use jujubehold_core::prelude::*;
use jujubehold_wire::peer;
use log::{info, warn};
use metrics::counter;

use super::control_event::ControlEvent;
use super::control_loop::Control;
use super::group_driver::GroupDriver;
use super::restore_queue::Restore;
use crate::platform::{service_key, watch_platform};

/// The maximum random delay before a lost configuration is written back, in milliseconds. The hosts
/// that detect the loss at the same time spread their writes over it.
const RESTORE_MAX_DELAY_MS: u64 = 300;
impl Control {
    /// Handles a full read of the services in the platform's key-value service.
    pub(super) fn on_services_listed(&mut self, services: BTreeMap<ServiceId, PlatformValue>) {
        self.restores.clear();
        let lost: Vec<_> = self
            .store
            .versions()
            .into_keys()
            .filter(|service| !services.contains_key(service))
            .collect();
        for service in lost {
            let value = PlatformValue {
                record: None,
                mod_revision: 0,
            };
            self.merge_value(&service, value);
        }
        for (service, value) in services {
            self.merge_value(&service, value);
        }
    }

    /// Handles the value that the platform's key-value service holds for one service.
    pub(super) fn merge_value(&mut self, service: &ServiceId, value: PlatformValue) {
        self.restores.drop_service(service);
        if let Some(record) = &value.record {
            self.count_conflict(service, record);
        }
        match self.store.on_platform_value(service, value) {
            PlatformAction::Nothing => {}
            PlatformAction::Relay => {
                self.apply(service);
                self.relay_config(service);
            }
            PlatformAction::Restore { text, mod_revision } => {
                warn!(service = service.as_str();
                    "the platform's key-value service lost a configuration");
                let restore = Restore { text, mod_revision };
                self.restores.add(service.clone(), restore);
                self.start_restore();
            }
        }
    }

    /// Merges a record from a peer; returns whether it became current.
    pub(super) fn merge_record(&mut self, record: ConfigRecord) -> bool {
        let service = record.config.service.clone();
        self.count_conflict(&service, &record);
        match self.store.merge(record) {
            MergeOutcome::Applied | MergeOutcome::WonTie => {
                self.apply(&service);
                true
            }
            MergeOutcome::LostTie | MergeOutcome::Unchanged | MergeOutcome::Stale { .. } => false,
        }
    }

    /// Counts and logs a record that has the generation of the current one but another text.
    fn count_conflict(&self, service: &ServiceId, record: &ConfigRecord) {
        let (ours, theirs) = (self.store.version(service), record.version());
        if ours.generation == theirs.generation && ours.digest != theirs.digest {
            counter!("jujubehold_configuration_conflicts_total").increment(1);
            warn!(service = service.as_str(), generation = ours.generation;
                "two different configurations have the same generation");
        }
    }

    /// Applies the current configuration of a service to its group.
    fn apply(&mut self, service: &ServiceId) {
        let Some(config) = self.store.config(service) else {
            return;
        };
        let config = config.clone();
        info!(service = service.as_str(), generation = config.generation;
            "applied a configuration");
        let group = self
            .groups
            .entry(service.clone())
            .or_insert_with(|| GroupDriver::new(Arc::new(config.clone())));
        group.apply_config(self.clock.now(), config);
        self.assign_owners_and_watchers(service);
        self.changed_services.insert(service.clone());
        self.is_publish_urgent = true;
        // A change may request another primary, which a quiet group would otherwise check for late.
        self.on_group_event(service, FailoverEvent::Tick);
    }

    /// Relays a service's configuration to the hosts of this failure domain, if this host is one of
    /// the domain's configuration watchers.
    pub(super) fn relay_config(&mut self, service: &ServiceId) {
        if !self.is_config_watcher() {
            return;
        }
        let Some(message) = self.service_message(service) else {
            return;
        };
        self.notify_own_domain(&peer::notify_request::Kind::Service(message));
    }

    /// Returns the message with a service's current record, including its text.
    pub(super) fn service_message(&self, service: &ServiceId) -> Option<peer::ServiceRecord> {
        let record = self.store.record(service)?;
        Some(peer::ServiceRecord {
            service: service.to_string(),
            generation: record.config.generation,
            text: record.text.to_string(),
            text_digest: self.store.version(service).digest,
        })
    }

    /// Returns whether this host watches the platform's key-value service for its failure domain.
    pub(super) fn is_config_watcher(&self) -> bool {
        let own_domain = self.live_hosts.get(&self.domain);
        own_domain.is_none_or(|hosts| {
            config_watchers(&self.domain, hosts, CONFIG_WATCHERS_PER_DOMAIN)
                .contains(&self.context.host)
        })
    }

    /// Starts or stops the watch of the platform's key-value service, according to the current live
    /// hosts.
    pub(super) fn update_platform_watch(&mut self, is_starting: bool) {
        let is_watcher = self.is_config_watcher() && !self.is_leaving;
        if !is_watcher {
            if let Some(watch) = self.platform_watch.take() {
                watch.abort();
            }
            return;
        }
        if self.platform_watch.is_some() {
            return;
        }
        let wait = if is_starting {
            self.first_watch_max_delay.mul_f64(rand::random())
        } else {
            Duration::ZERO
        };
        let (kv, events) = (self.kv.clone(), self.events_sender.clone());
        self.platform_watch = Some(actix_rt::spawn(async move {
            tokio::time::sleep(wait).await;
            watch_platform(kv, events).await;
        }));
    }

    /// Handles the end of a write-back and starts the next one.
    pub(super) fn on_restore_ended(&mut self) {
        self.restores.end();
        self.start_restore();
    }

    fn start_restore(&mut self) {
        let Some((service, restore)) = self.restores.take(rand::random()) else {
            return;
        };
        let (mut kv, events) = (self.kv.clone(), self.events_sender.clone());
        let wait = Duration::from_millis(rand::random_range(0..RESTORE_MAX_DELAY_MS));
        actix_rt::spawn(async move {
            tokio::time::sleep(wait).await;
            let key = service_key(&service);
            let value = restore.text.as_bytes().to_vec();
            // Whether or not this write took effect, the watch reports the value that is stored
            // then.
            match kv.put_if(&key, restore.mod_revision, value).await {
                Ok(is_written) => {
                    info!(service = service.as_str(), is_written;
                        "write-back of a configuration ended");
                }
                Err(error) => warn!("failed to write a configuration back: {error}"),
            }
            let _ = events.send(ControlEvent::RestoreEnded);
        });
    }
}
