//! The event loop that owns the control state and publishes the routing table.

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
use super::group_driver::{FailoverContext, GroupDriver};
use super::restore_queue::RestoreQueue;
use crate::clock::Clock;
use crate::observation::{Observation, ObservationReceiver};
use crate::peer::{PeerClients, PeerConnector};
use crate::platform::KvClient;
use crate::routing_table::{RoutingTable, ServiceRoute};

/// The timeout of a call to the platform's key-value service.
const PLATFORM_CALL_TIMEOUT: Duration = Duration::from_secs(2);
/// The most events that are handled before timers and the routing table are checked again.
const MAX_EVENTS_PER_TURN: usize = 256;
/// How often a host exchanges digests with another host.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(2);
/// The longest that the loop sleeps without an event.
const MAX_SLEEP: Duration = Duration::from_secs(1);

/// The maximum random delay before a host with seeds first calls the platform's key-value service.
/// Its peers respond faster, and asking them puts no load on the platform's key-value service.
const FIRST_WATCH_MAX_DELAY: Duration = Duration::from_millis(500);

/// How far this host has discovered the other hosts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum DiscoveryState {
    /// The host knows no other host yet. It watches no group, because it might wrongly act as the
    /// only host.
    Waiting,
    /// The host learned of others, or the wait for them timed out.
    Ended,
    /// The host watches the groups that are assigned to it.
    Watching,
}

/// The control state of one host.
#[derive(Debug)]
pub struct Control {
    pub(super) clock: Clock,
    pub(super) domain: DomainId,
    pub(super) owners_per_instance: usize,
    pub(super) context: FailoverContext,
    pub(super) store: ConfigStore,
    pub(super) groups: BTreeMap<ServiceId, GroupDriver>,
    pub(super) timers: BTreeSet<(Monotonic, ServiceId)>,
    pub(super) membership: Membership,
    pub(super) live_hosts: DomainHosts,
    pub(super) is_membership_changed: bool,
    pub(super) discovery: DiscoveryState,
    pub(super) first_watch_max_delay: Duration,
    pub(super) runner: ActionRunner,
    pub(super) peers: PeerClients,
    pub(super) seeds: Vec<PeerSeed>,
    /// The translation of addresses from peers and configurations to those that this host connects
    /// to.
    pub(super) translation: AddressTranslation,
    pub(super) socket: Rc<UdpSocket>,
    pub(super) kv: KvClient,
    pub(super) platform_watch: Option<JoinHandle<()>>,
    pub(super) restores: RestoreQueue,
    pub(super) relay_history: RelayHistory,
    pub(super) events_sender: ControlSender,
    pub(super) routes: BTreeMap<ServiceId, Arc<ServiceRoute>>,
    pub(super) changed_services: BTreeSet<ServiceId>,
    pub(super) is_publish_urgent: bool,
    pub(super) published_at: Monotonic,
    pub(super) is_leaving: bool,
    table: watch::Sender<Arc<RoutingTable>>,
    events: ControlReceiver,
    observations: ObservationReceiver,
}

/// The channels, sockets and clock with which a control state is created.
#[derive(Debug)]
pub struct ControlParts {
    /// The host's clock.
    pub clock: Clock,
    /// The address on which other hosts reach this one.
    pub peer_address: SocketAddr,
    /// Opens channels to other hosts.
    pub connector: PeerConnector,
    /// The socket for datagrams at the peer address.
    pub socket: std::net::UdpSocket,
    /// Publishes the routing table.
    pub table: watch::Sender<Arc<RoutingTable>>,
    /// Receives the observations of the traffic threads.
    pub observations: ObservationReceiver,
    /// Sends events to the control thread; cloned into tasks.
    pub events_sender: ControlSender,
    /// Receives events.
    pub events: ControlReceiver,
}

impl Control {
    /// Creates an empty control state. It has to be created on the control thread.
    ///
    /// # Errors
    /// Returns an error if the socket can't be registered with the thread's event loop.
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
            context: FailoverContext {
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
            discovery: DiscoveryState::Waiting,
            first_watch_max_delay: if settings.peer_seeds.is_empty() {
                Duration::ZERO
            } else {
                FIRST_WATCH_MAX_DELAY
            },
            runner,
            peers: PeerClients::new(parts.connector),
            seeds: settings.peer_seeds.clone(),
            translation: settings.address_translation.clone(),
            socket: Rc::new(UdpSocket::from_std(parts.socket)?),
            kv,
            platform_watch: None,
            restores: RestoreQueue::default(),
            relay_history: RelayHistory::default(),
            events_sender: parts.events_sender,
            routes: BTreeMap::new(),
            changed_services: BTreeSet::new(),
            is_publish_urgent: false,
            published_at: Monotonic::ZERO,
            is_leaving: false,
            table: parts.table,
            events: parts.events,
            observations: parts.observations,
        })
    }

    /// Handles events until the future is dropped.
    pub async fn run(mut self) {
        self.receive_datagrams();
        loop {
            let sleep = self.next_wakeup().saturating_sub(self.clock.now());
            tokio::select! {
                Some(event) = self.events.recv() => self.take_events(event),
                Some(observation) = self.observations.recv() => self.take_observations(observation),
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
        for _ in 1..MAX_EVENTS_PER_TURN {
            let Ok(event) = self.events.try_recv() else {
                return;
            };
            self.take_event(event);
        }
    }

    fn take_event(&mut self, event: ControlEvent) {
        match event {
            ControlEvent::Group { service, event } => self.on_group_event(&service, event),
            ControlEvent::ServicesListed { services } => self.on_services_listed(services),
            ControlEvent::ServiceChanged { service, value } => self.merge_value(&service, value),
            ControlEvent::HostsListed { hosts } => {
                self.end_discovery();
                self.on_membership(MembershipEvent::PlatformListRead { hosts });
            }
            ControlEvent::Notified(request) => self.on_notified(*request),
            ControlEvent::ExchangeRequested {
                request,
                response_sender,
            } => {
                let response = self.respond_to_exchange(&request);
                // The requesting host may have disconnected.
                let _ = response_sender.send(response);
            }
            ControlEvent::ExchangeResponse { with, response } => self.on_exchanged(with, &response),
            ControlEvent::DatagramReceived { from, text } => self.on_datagram(from, &text),
            ControlEvent::RestoreEnded => self.on_restore_ended(),
            ControlEvent::Leave => self.on_leave(),
        }
    }

    fn take_observations(&mut self, first: Observation) {
        self.on_observation(first);
        for _ in 1..MAX_EVENTS_PER_TURN {
            let Ok(observation) = self.observations.try_recv() else {
                return;
            };
            self.on_observation(observation);
        }
    }

    fn tick(&mut self) {
        let now = self.clock.now();
        if now >= self.membership.next_wakeup() {
            self.on_membership(MembershipEvent::Tick);
        }
        self.check_discovery_timeout(now);
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
        // Higher than before the restart unless the clock was set back. In that case this host
        // refutes what others report about its earlier incarnation.
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
