//! When a host may lease its own share.
//!
//! Each host whose name is recorded in the store owns one share of every quota. A share may be
//! leased once every host whose count of the hosts may still be used has counted this one, and for
//! as long as the name is certainly recorded.

use std::time::Duration;

use super::host_count::{FIRST_START_PHASE, MAX_COUNT_AGE};
use crate::ids::Monotonic;
use crate::{key_type, value_type};

/// How long a host waits after it was listed for the first time in a system that starts for the
/// first time: as long as the others may use a count that they read before, and some more for
/// clocks that run at different rates.
const FIRST_START_DELAY: Duration = Duration::from_millis(2_460);
/// How long a host whose name was recorded waits while the whole system is running.
const RECORDED_DELAY: Duration = Duration::from_millis(20_500);
const _: () = assert!(RECORDED_DELAY.as_millis() > MAX_COUNT_AGE.as_millis());
/// How late a host may be listed and still count as one that started with the system.
const MAX_FIRST_LISTING: Duration = Duration::from_secs(4);
const _: () = assert!(MAX_FIRST_LISTING.as_millis() < FIRST_START_PHASE.as_millis());

key_type! {
    /// What the store says about this host's name.
    pub enum NameRecord {
        /// The name is not recorded.
        Absent,
        /// It was recorded recently, and some hosts may not know it.
        Recent,
        /// Every host that counts hosts knows it.
        Settled,
    }
}

value_type! {
    /// What this host knows about its own share.
    #[derive(Default)]
    pub struct OwnShare {
        /// What the store says about the name; `None` if this process does not know.
        record: Option<NameRecord>,
        /// From when on every other host counts this one.
        counted_from: Option<Monotonic>,
        /// The latest time at which this host was in the list of hosts.
        listed_at: Option<Monotonic>,
        /// Whether the earlier process of this host ran long enough for a start credit.
        has_start_credit: bool,
    }
}

impl OwnShare {
    /// Records that this host was in the list of hosts at `time`.
    ///
    /// The name of a host that was not listed for longer than a count may be used may have been
    /// removed, so its record has to be read again.
    pub fn note_listed(&mut self, time: Monotonic) {
        let was_lost = self
            .listed_at
            .is_some_and(|before| time.saturating_sub(before) >= MAX_COUNT_AGE);
        if was_lost {
            self.record = None;
            self.counted_from = None;
        }
        self.listed_at = self.listed_at.max(Some(time));
    }

    /// Records what the store said about the name at `now`, in answer to a call that was made at
    /// `asked_at` while this host was listed. A name that is found while the host is not listed may
    /// be removed at any time.
    pub fn note_record(&mut self, asked_at: Monotonic, now: Monotonic, record: NameRecord) {
        if self.record.is_some() {
            return;
        }
        self.record = Some(record);
        self.listed_at = self.listed_at.max(Some(asked_at));
        self.counted_from = match record {
            NameRecord::Settled => Some(Monotonic::ZERO),
            NameRecord::Recent => Some(now + RECORDED_DELAY),
            NameRecord::Absent => None,
        };
    }

    /// Records that the name was recorded when this host was listed at `now`, in a system that
    /// starts for the first time.
    pub fn note_first_listing(&mut self, now: Monotonic) {
        let delay = if now <= MAX_FIRST_LISTING {
            FIRST_START_DELAY
        } else {
            RECORDED_DELAY
        };
        self.record = Some(NameRecord::Settled);
        self.listed_at = self.listed_at.max(Some(now));
        self.counted_from.get_or_insert(now + delay);
    }

    /// Records that the earlier process of this host ran for as long as
    /// [`min_process_age`](super::min_process_age) says.
    pub fn note_long_earlier_process(&mut self) {
        self.has_start_credit = true;
    }

    /// Returns whether the share may be leased with a start credit.
    pub(super) fn has_start_credit(&self) -> bool {
        self.has_start_credit
    }

    /// Returns whether the store has to be asked about the name.
    pub fn needs_lookup(&self) -> bool {
        self.record.is_none()
    }

    /// Returns what has to be written about the name.
    pub fn record_to_write(&self, now: Monotonic) -> Option<NameRecord> {
        let is_counted = self.counted_from.is_some_and(|from| now >= from);
        match self.record? {
            NameRecord::Absent => Some(NameRecord::Recent),
            NameRecord::Recent if is_counted => Some(NameRecord::Settled),
            NameRecord::Recent | NameRecord::Settled => None,
        }
    }

    /// Records that `record` was written.
    pub fn note_written(&mut self, now: Monotonic, record: NameRecord) {
        self.record = Some(record);
        self.counted_from.get_or_insert(now + RECORDED_DELAY);
    }

    /// Returns from when on the share may be leased; `None` if it may not be leased at `now`.
    pub fn counted_from(&self, now: Monotonic) -> Option<Monotonic> {
        let listed_at = self.listed_at?;
        let is_listed = now < listed_at + MAX_COUNT_AGE;
        self.counted_from.filter(|_| is_listed)
    }
}
