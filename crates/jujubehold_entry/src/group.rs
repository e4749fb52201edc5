//! What this host knows about a service's group.

use jujubehold_core::primary_positions::PrimaryPositions;
use jujubehold_core::primary_votes::{PrimaryVoteSettings, PrimaryVotes};
use metrics::{Counter, Histogram, counter, histogram};

use crate::metric_names::{READS, STATEMENT_SECONDS, WAIT_SECONDS, WRITES};
use crate::prelude::*;

/// A service's group, as this host knows it.
#[derive(Debug)]
pub(crate) struct Group {
    /// Samples of the primary's log position.
    pub(crate) primary_positions: PrimaryPositions,
    /// The newest position at which this process acknowledged a commit.
    pub(crate) acknowledged: LogPosition,
    /// Since when this host has known the current primary.
    pub(crate) primary_since: Monotonic,
    /// The hosts' votes on whether they reach the primary.
    pub(crate) votes: PrimaryVotes,
    /// A primary that is being replaced by a planned change, and that statements and transactions
    /// which began before the change may still use.
    pub(crate) leaving_primary: Option<LeavingPrimary>,
    /// The number of statements and transactions of this host that use the primary.
    pub(crate) primary_uses: u32,
    /// When a request of this host last needed the primary.
    pub(crate) primary_wanted_at: Option<Monotonic>,
    /// When a read that needs samples of the primary's position last arrived.
    pub(crate) position_wanted_at: Option<Monotonic>,
    /// Whether a read is waiting for a newer sample of the primary's position.
    pub(crate) is_position_needed: bool,
    /// Whether a request for the primary's position is in flight.
    pub(crate) is_probing: bool,
    pub(crate) metrics: GroupMetrics,
}

/// A primary that is being replaced by a planned change.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LeavingPrimary {
    pub(crate) instance: InstanceId,
    /// Until when statements and transactions that began before the change may continue.
    pub(crate) until: Monotonic,
}

/// The metrics of one service, registered once.
#[derive(Debug)]
pub(crate) struct GroupMetrics {
    pub(crate) primary_reads: Counter,
    pub(crate) replica_reads: Counter,
    pub(crate) writes: Counter,
    pub(crate) read_seconds: Histogram,
    pub(crate) write_seconds: Histogram,
    pub(crate) connection_wait_seconds: Histogram,
}

impl Group {
    pub(crate) fn new(service: &ServiceId) -> Self {
        Self {
            primary_positions: PrimaryPositions::default(),
            acknowledged: LogPosition::START,
            primary_since: Monotonic::ZERO,
            votes: PrimaryVotes::new(PrimaryVoteSettings::default()),
            leaving_primary: None,
            primary_uses: 0,
            primary_wanted_at: None,
            position_wanted_at: None,
            is_position_needed: false,
            is_probing: false,
            metrics: GroupMetrics::new(service),
        }
    }
}

impl GroupMetrics {
    fn new(service: &ServiceId) -> Self {
        let reads = |role| counter!(READS, "service" => service.to_string(), "role" => role);
        let seconds =
            |path| histogram!(STATEMENT_SECONDS, "service" => service.to_string(), "path" => path);
        Self {
            primary_reads: reads("primary"),
            replica_reads: reads("replica"),
            writes: counter!(WRITES, "service" => service.to_string()),
            read_seconds: seconds("read"),
            write_seconds: seconds("write"),
            connection_wait_seconds: histogram!(
                WAIT_SECONDS, "service" => service.to_string(), "for" => "connection"),
        }
    }
}
