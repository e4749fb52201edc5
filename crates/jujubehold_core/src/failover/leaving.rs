//! When the work on a primary that is leaving has ended.

use crate::failover::settings::ChangeSettings;
use crate::group_view::Sample;
use crate::ids::Monotonic;
use crate::value_type;

value_type! {
    /// What the statuses of a leaving primary show of the work that is still open on it.
    ///
    /// The instance itself is asked, since it knows the transactions of all hosts, those of dead
    /// ones and of those that nobody can reach among them. See docs/notes/failover.md.
    #[derive(Default)]
    pub(super) struct LeavingPrimary {
        since: Option<Monotonic>,
        // Since when no status showed any open work.
        quiet_since: Option<Monotonic>,
    }
}

impl LeavingPrimary {
    /// Takes in the latest sample of the primary.
    pub(super) fn observe(&mut self, now: Monotonic, sample: Option<&Sample>) {
        let since = *self.since.get_or_insert(now);
        let Some(sample) = sample.filter(|sample| sample.sent_at >= since) else {
            return;
        };
        if sample.status.open_transactions > 0 {
            self.quiet_since = None;
        } else {
            self.quiet_since.get_or_insert(sample.sent_at);
        }
    }

    /// Forgets all, since the primary is not leaving or is another one.
    pub(super) fn clear(&mut self) {
        *self = Self::default();
    }

    /// Whether the primary may be fenced, by the watcher of this rank.
    ///
    /// A commit that has just ended still has to be confirmed by a replica, and hosts learn of the
    /// leaving one after the other; so the primary must have been quiet for a while.
    pub(super) fn may_be_fenced(&self, now: Monotonic, change: &ChangeSettings, rank: u32) -> bool {
        let settle = change.leaving_settle.saturating_mul(rank.saturating_add(1));
        let is_quiet = self.quiet_since.is_some_and(|since| now >= since + settle);
        let is_overdue = self
            .since
            .is_some_and(|since| now >= since + change.leaving_grace + settle);
        is_quiet || is_overdue
    }

    /// Whether it matters now how much work is open.
    pub(super) fn is_waiting(&self, now: Monotonic, change: &ChangeSettings) -> bool {
        self.since
            .is_some_and(|since| now <= since + change.leaving_grace)
    }
}
