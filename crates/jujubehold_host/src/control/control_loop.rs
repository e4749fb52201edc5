//! The loop that keeps the control state and publishes the routing table.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use jujubehold_core::config_store::ConfigStore;
use jujubehold_core::failover::{ChangeSettings, FailoverSettings};
use jujubehold_core::membership::{
    Member, MemberState, Membership, MembershipEvent, MembershipSettings,
};
use jujubehold_core::ownership::DomainHosts;
use jujubehold_core::prelude::*;
use jujubehold_core::relay_tree::RelayHistory;
use jujubehold_settings::{AddressTranslation, HostSettings, PeerSeed};
use tokio::net::UdpSocket;
use tokio::sync::watch;
use tokio::task::JoinHandle;

use super::action_runner::ActionRunner;
use super::control_event::{ControlEvent, ControlReceiver, ControlSender};
use super::group_driver::{FailoverOwner, GroupDriver};
use super::restore_queue::RestoreQueue;
use crate::clock::Clock;
use crate::observation::{Observation, ObservationReceiver};
use crate::peer::{PeerClients, PeerConnector};
use crate::platform::KvClient;
use crate::routing_table::{RoutingTable, ServiceRoute};

/// How long a call of the platform's service may take.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// How many events are taken in before the time and the routing table are looked at again.
const MAX_BATCH: usize = 256;
/// How often a host exchanges digests with another one.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// The longest sleep of the loop.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The longest wait before the first call of the platform's service on a host with seeds: its
/// peers are faster to ask, and cost the platform's service nothing.
const FIRST_WATCH_SPREAD: Duration = Duration::from_millis(500);

/// What this host knows of others.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum HostKnowledge {
    /// It has heard of nobody yet, and watches no group: it might take itself for the only one.
    Alone,
    /// It has heard of others, or waited long enough.
    Heard,
    /// It watches the groups that it is to watch.
    Watching,
}

/// The control state of one host.
#[derive(Debug)]
pub struct Control {
    pub(super) clock: Clock,
    pub(super) domain: DomainId,
    pub(super) owners_per_instance: usize,
    pub(super) owner: FailoverOwner,
    pub(super) store: ConfigStore,
    pub(super) groups: BTreeMap<ServiceId, GroupDriver>,
    pub(super) timers: BTreeSet<(Monotonic, ServiceId)>,
    pub(super) membership: Membership,
    pub(super) live_hosts: DomainHosts,
    pub(super) is_membership_changed: bool,
    pub(super) knowledge: HostKnowledge,
    pub(super) first_watch_spread: Duration,
    pub(super) runner: ActionRunner,
    pub(super) peers: PeerClients,
    pub(super) seeds: Vec<PeerSeed>,
    /// Where the addresses that others name are reached.
    pub(super) translation: AddressTranslation,
    pub(super) socket: Rc<UdpSocket>,
    pub(super) kv: KvClient,
    pub(super) platform_watch: Option<JoinHandle<()>>,
    pub(super) restores: RestoreQueue,
    pub(super) relay_memory: RelayHistory,
    pub(super) events_sender: ControlSender,
    pub(super) routes: BTreeMap<ServiceId, Arc<ServiceRoute>>,
    pub(super) dirty: BTreeSet<ServiceId>,
    pub(super) is_urgent: bool,
    pub(super) published_at: Monotonic,
    pub(super) is_leaving: bool,
    table: watch::Sender<Arc<RoutingTable>>,
    events: ControlReceiver,
    observations: ObservationReceiver,
}

/// What a control state is made of.
#[derive(Debug)]
pub struct ControlParts {
    /// The host's clock.
    pub clock: Clock,
    /// Where other hosts reach this one.
    pub peer_address: SocketAddr,
    /// How channels to other hosts are opened.
    pub connector: PeerConnector,
    /// The socket for datagrams at that address.
    pub socket: std::net::UdpSocket,
    /// Where the routing table goes.
    pub table: watch::Sender<Arc<RoutingTable>>,
    /// What traffic observes.
    pub observations: ObservationReceiver,
    /// How events are sent.
    pub events_sender: ControlSender,
    /// How events are taken.
    pub events: ControlReceiver,
}

impl Control {
    /// A control state that knows nothing yet; made on the control thread.
    ///
    /// # Errors
    /// The socket can't be used.
    pub fn new(settings: &HostSettings, parts: ControlParts) -> std::io::Result<Self> {
        let failover_settings = FailoverSettings {
            probe_interval: settings.probe_interval,
            probe_timeout: settings.probe_timeout,
            authority: settings.authority.clone(),
            change: ChangeSettings {
                leaving_grace: settings.leaving_grace,
                ..ChangeSettings::default()
            },
            ..FailoverSettings::default()
        };
        let kv = KvClient::with_addresses(&settings.platform_addresses, PLATFORM_CALL_TIMEOUT);
        let runner = ActionRunner::new(
            parts.clock,
            settings.host.clone(),
            failover_settings.clone(),
            kv.clone(),
            parts.events_sender.clone(),
        );
        let runner = runner.with_translation(settings.address_translation.clone());
        let membership = new_membership(settings, parts.peer_address);
        Ok(Self {
            clock: parts.clock,
            domain: settings.domain.clone(),
            owners_per_instance: settings.owners_per_instance,
            owner: FailoverOwner {
                settings: failover_settings,
                host: settings.host.clone(),
                domain: settings.domain.clone(),
                nonce_seed: rand::random(),
            },
            store: ConfigStore::default(),
            groups: BTreeMap::new(),
            timers: BTreeSet::new(),
            live_hosts: membership.live_hosts(),
            membership,
            is_membership_changed: true,
            knowledge: HostKnowledge::Alone,
            first_watch_spread: if settings.peer_seeds.is_empty() {
                Duration::ZERO
            } else {
                FIRST_WATCH_SPREAD
            },
            runner,
            peers: PeerClients::new(parts.connector),
            seeds: settings.peer_seeds.clone(),
            translation: settings.address_translation.clone(),
            socket: Rc::new(UdpSocket::from_std(parts.socket)?),
            kv,
            platform_watch: None,
            restores: RestoreQueue::default(),
            relay_memory: RelayHistory::default(),
            events_sender: parts.events_sender,
            routes: BTreeMap::new(),
            dirty: BTreeSet::new(),
            is_urgent: false,
            published_at: Monotonic::ZERO,
            is_leaving: false,
            table: parts.table,
            events: parts.events,
            observations: parts.observations,
        })
    }

    /// Runs until its future is dropped.
    pub async fn run(mut self) {
        self.receive_datagrams();
        loop {
            let sleep = self.next_wakeup().saturating_sub(self.clock.now());
            tokio::select! {
                Some(event) = self.events.recv() => self.take_events(event),
                Some(observation) = self.observations.recv() => self.observe_all(observation),
                () = tokio::time::sleep(sleep) => {}
            }
            self.tick();
            if self.is_publishing_due() {
                let table = self.next_table();
                self.table.send_replace(Arc::new(table));
            }
        }
    }

    fn take_events(&mut self, first: ControlEvent) {
        self.take_event(first);
        for _ in 1..MAX_BATCH {
            let Ok(event) = self.events.try_recv() else {
                return;
            };
            self.take_event(event);
        }
    }

    fn take_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Group { service, event } => self.on_group_event(&service, event),
            ControlEvent::Listed { services } => self.on_listed(services),
            ControlEvent::Shown { service, value } => self.on_shown(&service, value),
            ControlEvent::HostsListed { hosts } => {
                self.hear_of_hosts();
                self.on_membership(MembershipEvent::PlatformListRead { hosts });
            }
            ControlEvent::Notified(request) => self.on_notified(*request),
            ControlEvent::ExchangeAsked { request, answer } => {
                let response = self.answer_exchange(&request);
                // The asking host may have gone.
                let _ = answer.send(response);
            }
            ControlEvent::Exchanged { with, response } => self.on_exchanged(with, &response),
            ControlEvent::Received { from, text } => self.on_datagram(from, &text),
            ControlEvent::RestoreEnded => self.on_restore_ended(),
            ControlEvent::Leave => self.on_leave(),
        }
    }

    fn observe_all(&mut self, first: Observation) {
        self.observe(first);
        for _ in 1..MAX_BATCH {
            let Ok(observation) = self.observations.try_recv() else {
                return;
            };
            self.observe(observation);
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.membership.next_wakeup() {
            self.on_membership(MembershipEvent::Tick);
        }
        self.settle(now);
        if self.is_membership_changed {
            self.apply_membership(now);
        }
        self.tick_groups(now);
    }

    fn next_wakeup(&self) -> Monotonic {
        let now = self.clock.now();
        let group = self.timers.first().map(|(due, _)| *due);
        let publishing = self.publishing_due();
        [group, publishing, Some(self.membership.next_wakeup())]
            .into_iter()
            .flatten()
            .fold(now + MAX_SLEEP, Ord::min)
    }
}

fn new_membership(settings: &HostSettings, peer_address: SocketAddr) -> Membership {
    let started_at = std::time::SystemTime::UNIX_EPOCH.elapsed();
    let own = Member {
        host: settings.host.clone(),
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        peer_address,
        // Higher than in any earlier life, unless the clock was set back; then others' words of
        // the earlier life are refuted.
        incarnation: started_at.map_or(1, |age| age.as_secs()),
        state: MemberState::Alive,
    };
    let seeds = settings
        .peer_seeds
        .iter()
        .map(|seed| seed.peer_address)
        .filter(|seed| *seed != peer_address)
        .collect();
    let membership_settings = MembershipSettings {
        exchange_interval: EXCHANGE_INTERVAL,
        ..MembershipSettings::default()
    };
    Membership::new(membership_settings, own, seeds, rand::random())
}
