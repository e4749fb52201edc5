//! What all threads of one host hold.

use std::sync::Arc;

use jujubehold_core::ownership::{quota, watcher_count};
use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;
use tokio::sync::watch;

use crate::activity::Activity;
use crate::clock::Clock;
use crate::drain_phase::DrainPhase;
use crate::observation::ObservationSender;
use crate::peer::PeerConnector;
use crate::pool::Pools;
use crate::routing_table::{RoutingTable, ServiceRoute};
use crate::security::{CallerTls, SecurityError};
use crate::traffic::{AdmissionQueues, CancelKeys, RetryBudgets, SilenceTracker, StatusQueries};

/// The parts of one host that its threads share.
#[derive(Debug)]
pub struct Shared {
    /// The host's settings.
    pub settings: HostSettings,
    /// The host's clock.
    pub clock: Clock,
    /// The latest routing table.
    pub table: watch::Receiver<Arc<RoutingTable>>,
    /// The way to the control thread.
    pub observations: ObservationSender,
    /// The connections to upstreams that this host owns.
    pub pools: Pools,
    /// How channels to other hosts are opened.
    pub connector: PeerConnector,
    /// The queues of requests.
    pub admission: AdmissionQueues,
    /// The shares of retries.
    pub retries: RetryBudgets,
    /// The questions that stand behind acknowledgements.
    pub status_queries: StatusQueries,
    /// The instances that reads keep off.
    pub silence_tracker: SilenceTracker,
    /// The keys to cancel statements with.
    pub cancels: Arc<CancelKeys>,
    /// What is in flight, which a shutdown waits for.
    pub activity: Arc<Activity>,
    /// How far the host's leaving has come.
    pub phase: watch::Receiver<DrainPhase>,
    /// The host's identity towards callers; `None` serves them in the clear.
    pub tls: Option<CallerTls>,
}

impl Shared {
    /// The parts of a host that has no callers yet.
    pub fn new(
        settings: HostSettings,
        clock: Clock,
        table: watch::Receiver<Arc<RoutingTable>>,
        observations: ObservationSender,
        phase: watch::Receiver<DrainPhase>,
    ) -> Self {
        Self {
            settings,
            clock,
            table,
            observations,
            pools: Pools::default(),
            connector: PeerConnector::default(),
            admission: AdmissionQueues::default(),
            retries: RetryBudgets::default(),
            status_queries: StatusQueries::default(),
            silence_tracker: SilenceTracker::default(),
            cancels: Arc::default(),
            activity: Arc::default(),
            phase,
            tls: None,
        }
    }

    /// The same with the identity that the settings name.
    ///
    /// # Errors
    /// The identity can't be read.
    pub fn with_tls(self) -> Result<Self, SecurityError> {
        let tls = self
            .settings
            .tls
            .as_ref()
            .map(CallerTls::load)
            .transpose()?;
        let connector = PeerConnector::load(&self.settings)?;
        Ok(Self {
            connector,
            tls,
            ..self
        })
    }

    /// Whether a caller must talk by TLS: where others than this machine's can reach the host, and
    /// the settings don't allow them the clear.
    pub fn is_tls_required(&self) -> bool {
        let is_exposed = !self.settings.caller_address.ip().is_loopback();
        self.tls.is_some() && is_exposed && !self.settings.is_cleartext_allowed
    }

    /// How many connections to an instance this host may hold when it is one of its owners.
    ///
    /// See [`quota`](jujubehold_core::ownership::quota).
    pub fn quota(&self, config: &ServiceConfig, instance: &InstanceConfig) -> usize {
        let owner_count = self.settings.owners_per_instance;
        let share = quota(instance.connections, owner_count, watcher_count(config));
        usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// The latest route of a service.
    pub fn route(&self, service: &ServiceId) -> Option<Arc<ServiceRoute>> {
        self.table.borrow().services.get(service).cloned()
    }
}
