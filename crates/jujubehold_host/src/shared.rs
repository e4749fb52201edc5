//! The state that all threads of a host share.

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

/// The state of one host that its threads share.
#[derive(Debug)]
pub struct Shared {
    /// The host's settings.
    pub settings: HostSettings,
    /// The host's clock.
    pub clock: Clock,
    /// The latest routing table, which the control thread publishes.
    pub table: watch::Receiver<Arc<RoutingTable>>,
    /// Sends observations to the control thread.
    pub observations: ObservationSender,
    /// The connections to upstreams that this host owns.
    pub pools: Pools,
    /// Opens channels to other hosts.
    pub connector: PeerConnector,
    /// The admission queues of requests.
    pub admission: AdmissionQueues,
    /// The retry budgets.
    pub retries: RetryBudgets,
    /// The queries to instances on which acknowledgements depend.
    pub status_queries: StatusQueries,
    /// The silent instances, which reads avoid.
    pub silence_tracker: SilenceTracker,
    /// The keys with which callers cancel statements.
    pub cancels: Arc<CancelKeys>,
    /// The counts of what is in flight, which a graceful shutdown waits for.
    pub activity: Arc<Activity>,
    /// The phase of the host's drain.
    pub phase: watch::Receiver<DrainPhase>,
    /// The host's TLS identity towards callers; `None` if TLS is not configured.
    pub tls: Option<CallerTls>,
}

impl Shared {
    /// Creates the shared state of a host without TLS.
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

    /// Loads the TLS identity that the settings name, if any, for callers and for other hosts.
    ///
    /// # Errors
    /// Returns an error if the identity can't be loaded.
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

    /// Whether callers must use TLS: the host has an identity, its caller address is not on
    /// loopback, and the settings don't allow cleartext.
    pub fn is_tls_required(&self) -> bool {
        let is_exposed = !self.settings.caller_address.ip().is_loopback();
        self.tls.is_some() && is_exposed && !self.settings.is_cleartext_allowed
    }

    /// Returns the most connections to an instance that this host may hold as one of its owners.
    ///
    /// See [`quota`](jujubehold_core::ownership::quota).
    pub fn quota(&self, config: &ServiceConfig, instance: &InstanceConfig) -> usize {
        let owner_count = self.settings.owners_per_instance;
        let share = quota(instance.connections, owner_count, watcher_count(config));
        usize::try_from(share).unwrap_or(usize::MAX)
    }

    /// Returns the latest route of a service; `None` if the service is unknown.
    pub fn route(&self, service: &ServiceId) -> Option<Arc<ServiceRoute>> {
        self.table.borrow().services.get(service).cloned()
    }
}
