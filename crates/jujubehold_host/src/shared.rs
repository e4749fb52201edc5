//! What all threads of one host hold.

use std::sync::Arc;

use jujubehold_settings::HostSettings;
use tokio::sync::watch;

use crate::activity::Activity;
use crate::clock::Clock;
use crate::drain_phase::DrainPhase;
use crate::observation::ObservationSender;
use crate::pool::Pools;
use crate::routing_table::RoutingTable;

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
    /// What is in flight, which a shutdown waits for.
    pub activity: Arc<Activity>,
    /// How far the host's leaving has come.
    pub phase: watch::Receiver<DrainPhase>,
}
