//! What the demonstration measured.

use std::fmt;
use std::time::Duration;

use crate::workload::{LedgerCheck, ReadLog, WriteLog};

/// The figures of one demonstration, and whether the promises held.
#[derive(Debug, Clone)]
pub struct DemoReport {
    /// Whether the session saw its write on the host that it roamed to.
    pub is_own_write_seen: bool,
    /// What the writers were told.
    pub writes: WriteLog,
    /// What the readers met.
    pub reads: ReadLog,
    /// Reads that replicas answered, and all reads that an upstream answered.
    pub replica_reads: (u64, u64),
    /// From the primary's death to the next acknowledged write; `None` when none came.
    pub failover_gap: Option<Duration>,
    /// Refusals, retries and unknown outcomes by their labels, over the whole run.
    pub reasons: Vec<(String, u64)>,
    /// The ledger beside what the writers were told.
    pub check: LedgerCheck,
}

impl DemoReport {
    /// Whether every promise that the run exercised held.
    pub fn is_held(&self) -> bool {
        self.is_own_write_seen && self.failover_gap.is_some() && self.check.is_clean()
    }
}

impl fmt::Display for DemoReport {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let (by_replicas, all) = self.replica_reads;
        let share = 100.0 * by_replicas as f64 / (all.max(1)) as f64;
        let seen = if self.is_own_write_seen { "yes" } else { "NO" };
        writeln!(f, "own write seen after roaming:   {seen}")?;
        writeln!(
            f,
            "reads by replicas:              {by_replicas} of {all} ({share:.1} %)"
        )?;
        writeln!(
            f,
            "reads answered / failed:        {} / {}",
            self.reads.answered, self.reads.failed
        )?;
        match self.failover_gap {
            Some(gap) => writeln!(f, "failover gap:                   {} ms", gap.as_millis())?,
            None => writeln!(
                f,
                "failover gap:                   WRITES DID NOT COME BACK"
            )?,
        }
        writeln!(
            f,
            "writes acknowledged:            {}",
            self.writes.acknowledged.len()
        )?;
        writeln!(
            f,
            "writes refused, asked again:    {}",
            self.writes.refusals
        )?;
        writeln!(
            f,
            "writes unknown:                 {}",
            self.writes.unknown.len()
        )?;
        writeln!(
            f,
            "acknowledged writes lost:       {}",
            self.check.lost.len()
        )?;
        writeln!(
            f,
            "writes run twice:               {}",
            self.check.doubled.len()
        )?;
        writeln!(
            f,
            "writes run though \"not run\":    {}",
            self.check.ran_after_all.len()
        )
    }
}
