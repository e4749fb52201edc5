//! Detects when the work on a leaving primary has ended.

use crate::failover::settings::ChangeSettings;
use crate::group_view::Sample;
use crate::ids::Monotonic;
use crate::value_type;

value_type! {
    /// What the statuses of a leaving primary show of its open transactions.
    ///
    /// The instance itself is asked because it knows the transactions of all hosts, including those
    /// of dead and unreachable ones. See docs/notes/failover.md.
    #[derive(Default)]
    pub(super) struct LeavingPrimary {
        since: Option<Monotonic>,
        // Since when no status has shown an open transaction.
        idle_since: Option<Monotonic>,
    }
}

impl LeavingPrimary {
    /// Records the latest sample of the primary.
    pub(super) fn observe(&mut self, now: Monotonic, sample: Option<&Sample>) {
        let since = *self.since.get_or_insert(now);
        let Some(sample) = sample.filter(|sample| sample.sent_at >= since) else {
            return;
        };
        if sample.status.open_transactions > 0 {
            self.idle_since = None;
        } else {
            self.idle_since.get_or_insert(sample.sent_at);
        }
    }

    /// Resets the state, because the primary is not leaving or has changed.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Returns whether the watcher of this rank may fence the primary.
    ///
    /// A replica still has to confirm a commit that has just ended, and hosts learn one after the
    /// other that the primary is leaving. So the primary must have had no open transaction for a
    /// while.
    pub(super) fn may_be_fenced(&self, now: Monotonic, change: &ChangeSettings, rank: u32) -> bool {
        let settle = change.leaving_settle.saturating_mul(rank.saturating_add(1));
        let is_idle = self.idle_since.is_some_and(|since| now >= since + settle);
        let is_expired = self
            .since
            .is_some_and(|since| now >= since + change.leaving_grace + settle);
        is_idle || is_expired
    }

    /// Returns whether the number of open transactions matters at `now`.
    pub(super) fn is_waiting(&self, now: Monotonic, change: &ChangeSettings) -> bool {
        self.since
            .is_some_and(|since| now <= since + change.leaving_grace)
    }
}
