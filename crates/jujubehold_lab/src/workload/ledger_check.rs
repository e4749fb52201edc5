//! What became of each write, by the ledger's own entries.

use std::collections::{BTreeMap, BTreeSet};

use crate::workload::write_log::WriteLog;

/// Writes whose fate differs from what their callers were told.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LedgerCheck {
    /// Acknowledged, and not in the ledger.
    pub lost: Vec<u64>,
    /// In the ledger more than once.
    pub doubled: Vec<u64>,
    /// Said not to have run, and in the ledger.
    pub ran_after_all: Vec<u64>,
}

impl LedgerCheck {
    /// Compares what callers were told with the ledger's ids.
    pub fn of(log: &WriteLog, ids: &[u64]) -> Self {
        let mut counts = BTreeMap::<u64, u64>::new();
        for id in ids {
            *counts.entry(*id).or_default() += 1;
        }
        let acknowledged: BTreeSet<_> = log.acknowledged.iter().map(|(id, _)| *id).collect();
        Self {
            lost: acknowledged
                .into_iter()
                .filter(|id| !counts.contains_key(id))
                .collect(),
            doubled: counts
                .iter()
                .filter(|(_, count)| **count > 1)
                .map(|(id, _)| *id)
                .collect(),
            ran_after_all: log
                .not_run
                .iter()
                .copied()
                .filter(|id| counts.contains_key(id))
                .collect(),
        }
    }

    /// Whether every caller was told the truth and no write ran twice.
    pub fn is_clean(&self) -> bool {
        self.lost.is_empty() && self.doubled.is_empty() && self.ran_after_all.is_empty()
    }
}
