//! The metrics that every statement updates, looked up once per session.

use metrics::{Counter, Histogram, counter, histogram};

use crate::metric_names::{CONFIRM_SECONDS, READS, STATEMENT_SECONDS, WAIT_SECONDS, WRITES};

/// Handles of a session's metrics; looking a metric up by its labels costs more than updating it.
#[derive(Debug)]
pub(crate) struct SessionMetrics {
    /// Reads that the primary served.
    pub(crate) primary_reads: Counter,
    /// Reads that a replica served.
    pub(crate) replica_reads: Counter,
    /// Writes that were acknowledged.
    pub(crate) writes: Counter,
    /// How long reads took.
    pub(crate) read_seconds: Histogram,
    /// How long writes took.
    pub(crate) write_seconds: Histogram,
    /// How long statements waited for a slot.
    pub(crate) slot_wait_seconds: Histogram,
    /// How long acknowledgements took.
    pub(crate) confirm_seconds: Histogram,
}

impl SessionMetrics {
    /// Creates the metrics of a session with `service`.
    pub(crate) fn new(service: &str) -> Self {
        let service = service.to_owned();
        let reads =
            |role: &'static str| counter!(READS, "service" => service.clone(), "role" => role);
        let seconds = |path: &'static str| histogram!(STATEMENT_SECONDS, "service" => service.clone(), "path" => path);
        Self {
            primary_reads: reads("primary"),
            replica_reads: reads("replica"),
            writes: counter!(WRITES, "service" => service.clone()),
            read_seconds: seconds("read"),
            write_seconds: seconds("write"),
            slot_wait_seconds: histogram!(WAIT_SECONDS, "service" => service.clone(), "for" => "slot"),
            confirm_seconds: histogram!(CONFIRM_SECONDS, "service" => service.clone()),
        }
    }
}
