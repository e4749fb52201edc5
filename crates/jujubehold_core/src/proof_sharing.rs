//! Sharing of one host's store reads among the hosts of a failure domain.
//!
//! Each host needs a fresh read of the lead table to use a primary. With many hosts these reads
//! would be most of the store's calls, so one host of each failure domain reads, and the others ask
//! it how old its newest read is. The asking host subtracts that age from the time at which it sent
//! its request. The result is never later than the read itself, and no clocks are compared. A host
//! that gets no answer reads the store itself. See docs/notes/platform-path.md.

use std::time::Duration;

use crate::ids::{DomainId, HostId, Monotonic};
use crate::silent_hosts::SilentHosts;
use crate::store_version::{Revision, StoreEra, StoreVersion};
use crate::value_type;

/// A fixed allowance for rounding, added to an age along with the one for clock drift.
const AGE_ROUNDING_MARGIN: Duration = Duration::from_millis(1);
/// The allowance for clocks that run at different rates is the age divided by this number.
const CLOCK_DRIFT_DIVISOR: u32 = 1_000;

value_type! {
    /// The limits of sharing proofs.
    pub struct ProofSharingSettings {
        /// How long a silent host, which did not answer or had no read, is not asked again.
        pub silence_pause: Duration,
        /// The maximum age of a read that is shared with other hosts.
        pub max_shared_age: Duration,
    }

    /// One host's read as reported to another host, as of the time of the answer.
    pub struct SharedRead {
        /// How long ago the read was requested from the store.
        pub age: Duration,
        /// The store's era at the read.
        pub era: StoreEra,
        /// The store's revision at the read.
        pub revision: Revision,
        /// The version of the lead table that the answering host uses.
        pub table: StoreVersion,
        /// The digest of the list of hosts that the answering host uses.
        pub hosts_digest: u64,
    }

    /// What the asking host knows when the answer arrives.
    pub struct SharedReadCheck {
        /// When the request was sent.
        pub sent_at: Monotonic,
        /// The store's era of its list of hosts.
        pub era: StoreEra,
        /// The revision at which it wrote its own entry in the list of hosts.
        pub own_key_revision: Revision,
        /// The revision of that entry in its copy of the list; `None` if the entry is missing.
        pub listed_revision: Option<Revision>,
        /// The version of its lead table, after it adopted a newer one from the answer.
        pub table: StoreVersion,
        /// The digest of its list of hosts.
        pub hosts_digest: u64,
    }

    /// Selects the host to ask for a proof.
    pub struct ProofSources {
        silent: SilentHosts,
        /// The host that did not answer the latest question.
        unanswered: Option<HostId>,
    }
}

crate::key_type! {
    /// Why another host's read proves nothing to this host.
    pub enum SharedReadFault {
        /// Only one of the two hosts has noticed that the store was restored from a copy.
        OtherEra,
        /// This host is not listed, so a host that announces a change does not ask it.
        NotListed,
        /// The read was made before this host's entry was written, so a host that announced a
        /// change before that may not know this host.
        BeforeJoin,
        /// The two hosts have different lists of hosts.
        OtherHosts,
        /// This host knows a newer table.
        OlderTable,
        /// This host lacks the table that the read proves.
        NewerTable,
    }
}

impl Default for ProofSharingSettings {
    fn default() -> Self {
        Self {
            // Long compared with an answer within a failure domain, short compared with a host's
            // restart.
            silence_pause: Duration::from_secs(3),
            // Half of a proof's window, which leaves the other half for using it.
            max_shared_age: Duration::from_millis(1_200),
        }
    }
}

impl SharedReadFault {
    /// Returns the name used in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::OtherEra => "other_era",
            Self::NotListed => "not_listed",
            Self::BeforeJoin => "before_join",
            Self::OtherHosts => "other_hosts",
            Self::OlderTable => "older_table",
            Self::NewerTable => "newer_table",
        }
    }
}

/// Returns the latest possible time of an event whose age was `age` in the answer to a request
/// sent at `sent_at`.
///
/// An event from before this host's clock began counts as one of the beginning, which is later. Where
/// that is unsafe, use [`happened_since_start`].
pub fn happened_at(sent_at: Monotonic, age: Duration) -> Monotonic {
    happened_since_start(sent_at, age).unwrap_or_default()
}

/// Returns the latest possible time of an event, as [`happened_at`] does; `None` if it may have
/// happened before this host's clock began.
pub fn happened_since_start(sent_at: Monotonic, age: Duration) -> Option<Monotonic> {
    sent_at.checked_sub(age + age / CLOCK_DRIFT_DIVISOR + AGE_ROUNDING_MARGIN)
}

impl SharedRead {
    /// Returns the time from which this host may count the read as its own.
    ///
    /// # Errors
    ///
    /// Returns an error if the read proves nothing about this host or its lead table.
    pub fn sent_at(&self, check: &SharedReadCheck) -> Result<Monotonic, SharedReadFault> {
        if self.era != check.era {
            return Err(SharedReadFault::OtherEra);
        }
        if check.listed_revision != Some(check.own_key_revision) {
            return Err(SharedReadFault::NotListed);
        }
        if self.revision < check.own_key_revision {
            return Err(SharedReadFault::BeforeJoin);
        }
        if self.hosts_digest != check.hosts_digest {
            return Err(SharedReadFault::OtherHosts);
        }
        if self.table < check.table {
            return Err(SharedReadFault::OlderTable);
        }
        if self.table > check.table {
            return Err(SharedReadFault::NewerTable);
        }
        Ok(happened_at(check.sent_at, self.age))
    }
}

impl Default for ProofSources {
    fn default() -> Self {
        Self {
            silent: SilentHosts::new(ProofSharingSettings::default().silence_pause),
            unanswered: None,
        }
    }
}

impl ProofSources {
    /// Returns the host that `host` asks; `None` if it reads the store itself.
    ///
    /// This is the first host by name of the same failure domain that has not been silent recently.
    pub fn source<'a>(
        &self,
        now: Monotonic,
        host: &HostId,
        domain: &str,
        hosts: impl Iterator<Item = (&'a HostId, &'a DomainId)>,
    ) -> Option<HostId> {
        let mut same_domain = hosts.filter(|(_, other_domain)| *other_domain == domain);
        let first =
            same_domain.find(|(other, _)| *other == host || !self.silent.is_silent(now, other))?;
        (first.0 != host).then(|| first.0.clone())
    }

    /// Records that the latest question was answered.
    pub fn note_answered(&mut self) {
        self.unanswered = None;
    }

    /// Records that `host` had no read to share.
    pub fn note_without_read(&mut self, now: Monotonic, host: &HostId) {
        self.unanswered = None;
        self.silent.note_silent(now, host);
    }

    /// Records that `host` did not answer. A single datagram may be lost, and the other hosts of the
    /// failure domain have no reads as long as they get answers from `host`. So it is passed over
    /// only after two questions.
    pub fn note_unanswered(&mut self, now: Monotonic, host: &HostId) {
        if self.unanswered.as_ref() == Some(host) {
            self.note_without_read(now, host);
        } else {
            self.unanswered = Some(host.clone());
        }
    }
}

impl ProofSharingSettings {
    /// Returns whether a read of this age may be shared with other hosts.
    pub fn may_share_read(&self, age: Duration) -> bool {
        age <= self.max_shared_age
    }
}
