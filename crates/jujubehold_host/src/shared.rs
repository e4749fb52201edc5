//! What all threads of one host hold.

use std::sync::Arc;

use jujubehold_core::prelude::*;
use jujubehold_settings::HostSettings;
use tokio::sync::watch;

use crate::clock::Clock;
use crate::observation::ObservationSender;
use crate::pool::Pools;
use crate::routing_table::{RoutingTable, ServiceRoute};
use crate::traffic::{AdmissionDesk, CancelKeys, ConfirmDesk, RetryBudgets};

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
    /// The queues of requests.
    pub admission: AdmissionDesk,
    /// The shares of retries.
    pub retries: RetryBudgets,
    /// The questions that stand behind acknowledgements.
    pub confirms: ConfirmDesk,
    /// The keys to cancel statements with.
    pub cancels: Arc<CancelKeys>,
}

impl Shared {
    /// The parts of a host that has no callers yet.
    pub fn new(
        settings: HostSettings,
        clock: Clock,
        table: watch::Receiver<Arc<RoutingTable>>,
        observations: ObservationSender,
    ) -> Self {
        Self {
            settings,
            clock,
            table,
            observations,
            pools: Pools::default(),
            admission: AdmissionDesk::default(),
            retries: RetryBudgets::default(),
            confirms: ConfirmDesk::default(),
            cancels: Arc::default(),
        }
    }

    /// The latest route of a service.
    pub fn route(&self, service: &ServiceId) -> Option<Arc<ServiceRoute>> {
        self.table.borrow().services.get(service).cloned()
    }
}
