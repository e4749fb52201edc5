//! Checks the reported outcome of each write against the ledger's entries.

use std::collections::{BTreeMap, BTreeSet};

use crate::workload::write_log::WriteLog;

/// Writes whose actual outcome differs from the reported one.
#[derive(Debug, Clone, PartialEq, Eq, Default)]
pub struct LedgerCheck {
    /// The ids of writes that were acknowledged but are not in the ledger.
    pub lost: Vec<u64>,
    /// The ids that are in the ledger more than once.
    pub duplicated: Vec<u64>,
    /// The ids of writes that were reported as not run but are in the ledger.
    pub ran_despite_not_run: Vec<u64>,
}

impl LedgerCheck {
    /// Compares the reported outcomes with the ledger's ids.
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
            duplicated: counts
                .iter()
                .filter(|(_, count)| **count > 1)
                .map(|(id, _)| *id)
                .collect(),
            ran_despite_not_run: log
                .not_run
                .iter()
                .copied()
                .filter(|id| counts.contains_key(id))
                .collect(),
        }
    }

    /// Returns whether every reported outcome is correct and no write ran twice.
    pub fn is_clean(&self) -> bool {
        self.lost.is_empty() && self.duplicated.is_empty() && self.ran_despite_not_run.is_empty()
    }
}
