//! The figures of the demonstration.

use std::fmt;
use std::time::Duration;

use crate::workload::{LedgerCheck, ReadLog, WriteLog};

/// The figures of one demonstration, which show whether the guarantees held.
#[derive(Debug, Clone)]
pub struct DemoReport {
    /// Whether the session read its own write at the host to which it moved.
    pub is_own_write_seen: bool,
    /// The outcomes that the writers received.
    pub writes: WriteLog,
    /// The counts of the readers.
    pub reads: ReadLog,
    /// The number of reads that replicas answered, and of all reads that an upstream answered.
    pub replica_reads: (u64, u64),
    /// The time from the primary's death until writes were acknowledged again; `None` if none was.
    pub failover_gap: Option<Duration>,
    /// The refusals, retries and unknown outcomes of the whole run, by their labels.
    pub outcome_counts: Vec<(String, u64)>,
    /// The comparison of the ledger with the outcomes that the writers received.
    pub check: LedgerCheck,
}

impl DemoReport {
    /// Returns whether every guarantee that the run exercised held.
    pub fn all_guarantees_held(&self) -> bool {
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
            self.check.duplicated.len()
        )?;
        writeln!(
            f,
            "writes run though \"not run\":    {}",
            self.check.ran_despite_not_run.len()
        )
    }
}
