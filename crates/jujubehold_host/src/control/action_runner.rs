//! Runs the actions of a group's failover as tasks, each of which ends by sending an event.

use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;

use jujubehold_core::failover::FailoverSettings;
use jujubehold_core::failover_action::FailoverAction;
use jujubehold_core::failover_event::FailoverEvent;
use jujubehold_core::prelude::*;
use jujubehold_settings::AddressTranslation;
use log::info;
use metrics::counter;

use super::control_event::{ControlEvent, ControlSender};
use super::instance_client::InstanceClient;
use super::instance_reply::InstanceReply;
use crate::clock::Clock;
use crate::platform::{GroupRecord, KvClient};

/// The query to which every instance responds with its status.
pub(crate) const STATUS_QUERY: &str = "SELECT group_status()";

/// The timeout of a call that promotes an instance or makes it follow a primary.
const ROLE_CHANGE_TIMEOUT: Duration = Duration::from_secs(1);

/// Runs failover actions on instances and on the platform's key-value service.
#[derive(Debug)]
pub(crate) struct ActionRunner {
    clock: Clock,
    host: HostId,
    settings: FailoverSettings,
    kv: KvClient,
    events: ControlSender,
    clients: BTreeMap<(ServiceId, InstanceId), Rc<InstanceClient>>,
    translation: AddressTranslation,
}

impl ActionRunner {
    /// Creates a runner without connections to instances.
    pub(crate) fn new(
        clock: Clock,
        host: HostId,
        settings: FailoverSettings,
        kv: KvClient,
        events: ControlSender,
    ) -> Self {
        Self {
            clock,
            host,
            settings,
            kv,
            events,
            clients: BTreeMap::new(),
            translation: AddressTranslation::default(),
        }
    }

    /// Sets the translation of the instances' configured addresses to those that this host connects
    /// to.
    pub(crate) fn with_translation(self, translation: AddressTranslation) -> Self {
        Self {
            translation,
            ..self
        }
    }

    /// Closes the connections to a service's instances when the host stops watching its group.
    pub(crate) fn close_connections(&mut self, service: &ServiceId) {
        self.clients.retain(|(existing, _), _| existing != service);
    }

    /// Starts an action on an instance or on the platform's key-value service; ignores the actions
    /// that notify other hosts.
    pub(crate) fn run(&mut self, config: &ServiceConfig, action: &FailoverAction) {
        count_action(action);
        match action {
            FailoverAction::Probe { instance } => self.probe(config, instance),
            FailoverAction::Record { term, nonce } => self.record(config, *term, *nonce),
            FailoverAction::Fence {
                instance,
                term,
                nonce,
            } => self.fence(config, instance, *term, *nonce),
            FailoverAction::CatchUp {
                instance,
                from,
                position,
            } => self.catch_up(config, instance, from, *position),
            FailoverAction::Promote {
                instance,
                term,
                nonce,
            } => self.promote(config, instance, *term, *nonce),
            FailoverAction::Follow {
                instance,
                primary,
                term,
            } => self.follow(config, instance, primary, *term),
            FailoverAction::ShareSuspicion { .. }
            | FailoverAction::ShareDoubt { .. }
            | FailoverAction::ShareLiveness { .. }
            | FailoverAction::Announce { .. } => {}
        }
    }

    fn probe(&mut self, config: &ServiceConfig, instance: &InstanceId) {
        let Some(client) = self.client(config, instance) else {
            return;
        };
        if !client.begin_probe() {
            return;
        }
        let (instance, clock) = (instance.clone(), self.clock);
        let timeout = self.settings.probe_timeout;
        self.spawn(config, async move {
            let sent_at = clock.now();
            let reply = client.call(STATUS_QUERY, timeout).await;
            client.end_probe();
            if reply == InstanceReply::AtConnectionLimit {
                return FailoverEvent::Refused { instance, sent_at };
            }
            FailoverEvent::Probed {
                instance,
                sent_at,
                status: reply.status(),
            }
        });
    }

    fn record(&self, config: &ServiceConfig, term: Term, nonce: Nonce) {
        let record = GroupRecord {
            term,
            nonce,
            host: self.host.clone(),
        };
        info!(service = config.service.as_str(), term;
            "recording an attempt to replace the primary");
        let mut kv = self.kv.clone();
        let service = config.service.clone();
        let time_limit = self.settings.record_timeout;
        self.spawn(config, async move {
            let outcome = record.write(&mut kv, &service, time_limit).await;
            FailoverEvent::Recorded { term, outcome }
        });
    }

    fn fence(&mut self, config: &ServiceConfig, instance: &InstanceId, term: Term, nonce: Nonce) {
        let Some(client) = self.client(config, instance) else {
            return;
        };
        let instance = instance.clone();
        let timeout = self.settings.fence_timeout;
        self.spawn(config, async move {
            let sql = format!("SELECT group_fence({term}, {nonce})");
            let status = client.call(&sql, timeout).await.status();
            FailoverEvent::Fenced {
                instance,
                term,
                nonce,
                status,
            }
        });
    }

    fn catch_up(
        &mut self,
        config: &ServiceConfig,
        instance: &InstanceId,
        from: &InstanceId,
        position: Position,
    ) {
        let Some(client) = self.client(config, instance) else {
            return;
        };
        let Some(source) = config.instances.get(from).map(|source| source.address) else {
            return;
        };
        let instance = instance.clone();
        let timeout = self.settings.catch_up_timeout;
        self.spawn(config, async move {
            let sql = format!("SELECT group_catch_up('{source}', {position})");
            let status = client.call(&sql, timeout).await.status();
            FailoverEvent::CaughtUp { instance, status }
        });
    }

    fn promote(&mut self, config: &ServiceConfig, instance: &InstanceId, term: Term, nonce: Nonce) {
        let Some(client) = self.client(config, instance) else {
            return;
        };
        info!(service = config.service.as_str(), instance = instance.as_str(), term; "promoting");
        let instance = instance.clone();
        self.spawn(config, async move {
            let sql = format!("SELECT group_promote({term}, {nonce})");
            let status = client.call(&sql, ROLE_CHANGE_TIMEOUT).await.status();
            FailoverEvent::Promoted {
                instance,
                term,
                status,
            }
        });
    }

    fn follow(
        &mut self,
        config: &ServiceConfig,
        instance: &InstanceId,
        primary: &InstanceId,
        term: Term,
    ) {
        let Some(client) = self.client(config, instance) else {
            return;
        };
        let Some(primary_address) = config
            .instances
            .get(primary)
            .map(|primary_config| primary_config.address)
        else {
            return;
        };
        let (instance, clock) = (instance.clone(), self.clock);
        self.spawn(config, async move {
            let sent_at = clock.now();
            let sql = format!("SELECT group_follow({term}, '{primary_address}')");
            let status = client.call(&sql, ROLE_CHANGE_TIMEOUT).await.status();
            FailoverEvent::Probed {
                instance,
                sent_at,
                status,
            }
        });
    }

    fn spawn(&self, config: &ServiceConfig, work: impl Future<Output = FailoverEvent> + 'static) {
        let service = config.service.clone();
        let events = self.events.clone();
        actix_rt::spawn(async move {
            let event = work.await;
            // The control thread may have stopped in the meantime.
            let _ = events.send(ControlEvent::Group { service, event });
        });
    }

    /// Returns the client of an instance at its current address; `None` if the configuration
    /// doesn't list the instance.
    fn client(
        &mut self,
        config: &ServiceConfig,
        instance: &InstanceId,
    ) -> Option<Rc<InstanceClient>> {
        let address = config.instances.get(instance)?.address;
        let address = self.translation.translate(address);
        let key = (config.service.clone(), instance.clone());
        let existing = self.clients.get(&key);
        if let Some(client) = existing.filter(|client| client.address() == address) {
            return Some(Rc::clone(client));
        }
        let client = Rc::new(InstanceClient::new(address, config.service.clone()));
        self.clients.insert(key, Rc::clone(&client));
        Some(client)
    }
}

fn count_action(action: &FailoverAction) {
    let kind = match action {
        FailoverAction::Probe { .. } => "probe",
        FailoverAction::ShareSuspicion { .. } => "share_suspicion",
        FailoverAction::ShareDoubt { .. } => "share_doubt",
        FailoverAction::ShareLiveness { .. } => "share_liveness",
        FailoverAction::Record { .. } => "record",
        FailoverAction::Fence { .. } => "fence",
        FailoverAction::CatchUp { .. } => "catch_up",
        FailoverAction::Promote { .. } => "promote",
        FailoverAction::Follow { .. } => "follow",
        FailoverAction::Announce { .. } => "announce",
    };
    counter!("jujubehold_failover_actions_total", "kind" => kind).increment(1);
}
