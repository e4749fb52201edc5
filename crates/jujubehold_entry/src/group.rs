//! What this host knows of one service's group.

use jujubehold_core::primary_positions::PrimaryPositions;
use jujubehold_core::primary_votes::{PrimaryVoteSettings, PrimaryVotes};
use metrics::{Counter, Histogram, counter, histogram};

use crate::metric_names::{READS, STATEMENT_SECONDS, WAIT_SECONDS, WRITES};
use crate::prelude::*;

/// One service's group, as this host knows it.
#[derive(Debug)]
pub(crate) struct Group {
    /// The primary's positions over time.
    pub(crate) primary_positions: PrimaryPositions,
    /// The hosts that miss the primary.
    pub(crate) votes: PrimaryVotes,
    /// A primary that leaves by plan and may still be used by what began before.
    pub(crate) leaving: Option<LeavingPrimary>,
    /// How many statements and transactions of this host use the primary.
    pub(crate) primary_uses: u32,
    /// When a read last needed a mark.
    pub(crate) position_wanted_at: Option<Monotonic>,
    /// Whether a read waits for a mark now.
    pub(crate) is_position_needed: bool,
    /// Whether a question for the primary's position is under way.
    pub(crate) is_probing: bool,
    pub(crate) metrics: GroupMetrics,
}

/// A primary that leaves by plan.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct LeavingPrimary {
    pub(crate) instance: InstanceId,
    /// Until when what began before the change may go on.
    pub(crate) until: Monotonic,
}

/// The counters of one service, looked up once.
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
            votes: PrimaryVotes::new(PrimaryVoteSettings::default()),
            leaving: None,
            primary_uses: 0,
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
