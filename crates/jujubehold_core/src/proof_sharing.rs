//! How the hosts of one failure domain share one host's reads of the store.
//!
//! Each host needs a fresh read of the lead table to use a primary. With many hosts these reads
//! would be most of the store's calls, so one host of each failure domain reads, and the others ask
//! it how old its newest read is. What it says counts from before the question left: the answer's
//! age, subtracted from when the question was sent, is never later than the read itself, without
//! any comparison of clocks. A host that gets no answer reads by itself. See
//! docs/notes/platform-path.md.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::{DomainId, HostId, Monotonic};
use crate::lead_table::Revision;
use crate::value_type;

/// What is added to an age for clocks of different rates: a thousandth, and this much for rounding.
const AGE_MARGIN: Duration = Duration::from_millis(1);
/// The part of an age by which clocks may differ is one in this many.
const DRIFT: u32 = 1_000;

value_type! {
    /// How proofs are shared.
    pub struct ProofSharingSettings {
        /// How long a host that gave no answer is not asked again.
        pub silence_pause: Duration,
        /// How old a read may be that is told to others.
        pub oldest_told: Duration,
    }

    /// The read that one host tells another of, as of the answer.
    pub struct SharedRead {
        /// How long ago it was asked of the store.
        pub age: Duration,
        /// The store's revision that it is of.
        pub revision: Revision,
        /// The revision of the table of leads that the answering host goes by.
        pub table_revision: Revision,
        /// The digest of the list of hosts that the answering host goes by.
        pub hosts_digest: u64,
    }

    /// What the host that asked knows when the answer comes.
    pub struct SharedReadCheck {
        /// When the question was sent.
        pub asked_at: Monotonic,
        /// The revision at which it wrote its own entry in the list of hosts.
        pub own_key_revision: Revision,
        /// The revision of that entry in the list that it knows; `None` when it is not there.
        pub listed_revision: Option<Revision>,
        /// The revision of its table of leads, after a newer one in the answer was taken in.
        pub table_revision: Revision,
        /// The digest of the list of hosts that it knows.
        pub hosts_digest: u64,
    }

    /// Who is asked for a proof.
    #[derive(Default)]
    pub struct ProofSources {
        settings: ProofSharingSettings,
        /// Hosts that gave no answer, and until when they are not asked.
        silent_until: BTreeMap<HostId, Monotonic>,
    }
}

crate::key_type! {
    /// Why another host's read proves nothing here.
    pub enum SharedReadFault {
        /// This host is off the list: whoever announces a change does not ask it.
        NotListed,
        /// The read was made before this host's key was written: whoever announced a change before
        /// that may not know this host.
        BeforeJoin,
        /// The two hosts know different hosts.
        OtherHosts,
        /// This host knows a newer table.
        OlderTable,
    }
}

impl Default for ProofSharingSettings {
    fn default() -> Self {
        Self {
            // Long beside an answer within a failure domain, short beside a host's restart.
            silence_pause: Duration::from_secs(3),
            // Half of a proof's window, so that the other half is left to use it.
            oldest_told: Duration::from_millis(1_200),
        }
    }
}

impl SharedReadFault {
    /// The name in logs.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotListed => "not_listed",
            Self::BeforeJoin => "before_join",
            Self::OtherHosts => "other_hosts",
            Self::OlderTable => "older_table",
        }
    }
}

/// When something happened at the latest that was `age` old in an answer to a question that was
/// sent at `asked_at`.
pub fn happened_at(asked_at: Monotonic, age: Duration) -> Monotonic {
    asked_at.saturating_sub(age + age / DRIFT + AGE_MARGIN)
}

impl SharedRead {
    /// From when on this host may count the read as its own.
    ///
    /// # Errors
    /// The read says nothing of this host or of the table that it goes by.
    pub fn asked_at(&self, check: &SharedReadCheck) -> Result<Monotonic, SharedReadFault> {
        if check.listed_revision != Some(check.own_key_revision) {
            return Err(SharedReadFault::NotListed);
        }
        if self.revision < check.own_key_revision {
            return Err(SharedReadFault::BeforeJoin);
        }
        if self.hosts_digest != check.hosts_digest {
            return Err(SharedReadFault::OtherHosts);
        }
        if self.table_revision < check.table_revision {
            return Err(SharedReadFault::OlderTable);
        }
        Ok(happened_at(check.asked_at, self.age))
    }
}

impl ProofSources {
    /// The host that `host` asks; `None` when it reads the store itself.
    ///
    /// It is the first by name of the host's own failure domain that has not been silent lately.
    pub fn source<'a>(
        &self,
        now: Monotonic,
        host: &HostId,
        domain: &str,
        hosts: impl Iterator<Item = (&'a HostId, &'a DomainId)>,
    ) -> Option<HostId> {
        let mut near = hosts.filter(|(_, other_domain)| *other_domain == domain);
        let first = near.find(|(other, _)| *other == host || !self.is_silent(now, other))?;
        (first.0 != host).then(|| first.0.clone())
    }

    /// Notes that `host` gave no answer.
    pub fn note_silent(&mut self, now: Monotonic, host: &HostId) {
        self.silent_until.retain(|_, until| now < *until);
        let until = now + self.settings.silence_pause;
        self.silent_until.insert(host.clone(), until);
    }

    fn is_silent(&self, now: Monotonic, host: &HostId) -> bool {
        self.silent_until
            .get(host)
            .is_some_and(|until| now < *until)
    }
}

impl ProofSharingSettings {
    /// Whether a read of this age may be told to others.
    pub fn may_tell(&self, age: Duration) -> bool {
        age <= self.oldest_told
    }
}
