//! The shares of one partition that a keeper holds.

use std::collections::BTreeMap;

use super::share::{Share, ShareTime};
use super::start_credit::StartCredit;
use crate::ids::{HostId, Monotonic};
use crate::value_type;

value_type! {
    /// The leases of one partition that a keeper holds, and for how long it has held shares.
    #[derive(Default)]
    pub(super) struct HeldShares {
        /// Until when each host has leased its share.
        leases: BTreeMap<HostId, Monotonic>,
        share_of_host: Share,
        /// Until when the share of a host may be relied on.
        count_until: Monotonic,
        held: ShareTime,
        held_until: Monotonic,
        credit: StartCredit,
    }
}

impl HeldShares {
    /// Brings the time for which shares were held up to `now`, and ends the leases that expired.
    /// Returns whether fewer shares are held than before, or start credits ended.
    pub(super) fn advance(&mut self, now: Monotonic) -> bool {
        let mut has_fewer = false;
        while let Some(next) = self.next_end().filter(|end| *end <= now) {
            self.hold_until(next);
            self.leases.retain(|_, until| *until > next);
            if self.count_until <= next {
                self.leases.clear();
            }
            has_fewer = true;
        }
        self.hold_until(now);
        if has_fewer {
            self.credit.end();
        }
        has_fewer | self.credit.advance(now)
    }

    // The first time at which a held share ends.
    fn next_end(&self) -> Option<Monotonic> {
        let first = self.leases.values().min()?;
        Some((*first).min(self.count_until))
    }

    fn hold_until(&mut self, time: Monotonic) {
        let elapsed = time.saturating_sub(self.held_until);
        self.held = self.held.plus(self.share(), elapsed);
        self.held_until = self.held_until.max(time);
    }

    /// Sets the share of one host and until when it may be relied on; called after
    /// [`advance`](Self::advance). Returns whether fewer shares are held than before.
    pub(super) fn set_share_of_host(&mut self, share: Share, until: Monotonic) -> bool {
        let before = self.share();
        self.share_of_host = share;
        self.count_until = until;
        let has_fewer = self.share() < before;
        if has_fewer {
            self.credit.end();
        }
        has_fewer
    }

    /// Adds the lease of `host`, with a start credit if `has_credit`; called after
    /// [`advance`](Self::advance).
    pub(super) fn add(
        &mut self,
        now: Monotonic,
        host: &HostId,
        until: Monotonic,
        has_credit: bool,
    ) {
        if until <= now || self.count_until <= now {
            return;
        }
        let lease = self.leases.entry(host.clone()).or_insert(until);
        *lease = until.max(*lease);
        if has_credit {
            self.credit.add(now, self.share_of_host);
        }
    }

    /// Gives up all shares.
    pub(super) fn clear(&mut self) {
        self.leases.clear();
        self.credit.end();
    }

    /// Returns the start credits that may be used.
    pub(super) fn credit(&self) -> StartCredit {
        self.credit
    }

    /// Returns the share that is held.
    pub(super) fn share(&self) -> Share {
        self.share_of_host.times(self.leases.len())
    }

    /// Returns for how long shares have been held.
    pub(super) fn held(&self) -> ShareTime {
        self.held
    }
}
