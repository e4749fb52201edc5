//! What this host knows of the leads, and for how long it may rely on it.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use jujubehold_core::lead_proof::{LeadProof, LeadProofSettings};
use jujubehold_core::lead_table::{LeadTable, Revision};
use jujubehold_core::proof_sharing::ProofSources;
use jujubehold_core::replica_evidence::ReplicaEvidence;

use crate::hosts_digest::hosts_digest;
use crate::prelude::*;
use crate::protocol::LeaseId;

/// The leads, the hosts that may change them, and this host's proof of both.
#[derive(Debug)]
pub(crate) struct LeadState {
    pub(crate) table: LeadTable,
    pub(crate) proof: LeadProof,
    /// Every host that the store lists, this one too.
    pub(crate) members: BTreeMap<HostId, Member>,
    /// The digest of `members`.
    pub(crate) members_digest: u64,
    /// The store's revision that the list is of.
    pub(crate) members_revision: Revision,
    /// Every host that was listed lately, with when that was. One that is off the list may live and
    /// be reached by the others.
    pub(crate) seen: BTreeMap<HostId, (Member, Monotonic)>,
    pub(crate) membership: Option<Membership>,
    /// The newest read of the store that this host made itself.
    pub(crate) own_read: Option<OwnRead>,
    /// Which hosts may be asked for theirs.
    pub(crate) sources: ProofSources,
    /// What the replicas of each service prove.
    pub(crate) evidence: BTreeMap<ServiceId, ReplicaEvidence>,
    /// Until when the lead of each service may be relied on by the replicas' word.
    evidence_until: BTreeMap<ServiceId, Monotonic>,
}

/// Another host.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) peer_address: SocketAddr,
    /// Empty where its entry does not say it.
    pub(crate) domain: DomainId,
    /// The store's revision of its entry.
    pub(crate) key_revision: Revision,
}

/// A whole read of the hosts' own keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnRead {
    pub(crate) asked_at: Monotonic,
    pub(crate) revision: Revision,
}

/// This host's own place in the list.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Membership {
    pub(crate) lease: LeaseId,
    pub(crate) key_revision: Revision,
    pub(crate) joined_at: Monotonic,
}

impl LeadState {
    pub(crate) fn new(is_first_start: bool) -> Self {
        Self {
            table: LeadTable::default(),
            proof: LeadProof::new(LeadProofSettings::default(), is_first_start),
            members: BTreeMap::new(),
            members_digest: 0,
            members_revision: 0,
            seen: BTreeMap::new(),
            membership: None,
            own_read: None,
            sources: ProofSources::default(),
            evidence: BTreeMap::new(),
            evidence_until: BTreeMap::new(),
        }
    }

    /// The hosts that were listed at any time since `since`, this one too.
    pub(crate) fn seen_since(&self, since: Monotonic) -> BTreeSet<HostId> {
        let seen = self.seen.iter().filter(|(_, (_, at))| *at >= since);
        seen.map(|(host, _)| host.clone())
            .chain(self.members.keys().cloned())
            .collect()
    }

    /// The other hosts that may still use a primary at `now`.
    pub(crate) fn others(&self, host: &str, now: Monotonic) -> BTreeSet<HostId> {
        let horizon = LeadProofSettings::default().horizon();
        let mut others = self.seen_since(now.saturating_sub(horizon));
        others.remove(host);
        others
    }

    /// Where a host is reached that is or was listed.
    pub(crate) fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.seen.get(host).map(|(member, _)| member.peer_address)
    }

    /// Notes that a host is listed.
    pub(crate) fn note_seen(&mut self, host: &HostId, member: &Member, at: Monotonic) {
        note_latest(&mut self.seen, host, member, at);
    }

    /// Takes in the whole list of hosts as of `revision`, asked for at `asked_at`; whether it is no
    /// older than the one known.
    pub(crate) fn set_members(
        &mut self,
        members: BTreeMap<HostId, Member>,
        revision: Revision,
        asked_at: Monotonic,
    ) -> bool {
        for (host, member) in &members {
            self.note_seen(host, member, asked_at);
        }
        if revision < self.members_revision {
            return false;
        }
        self.members_revision = revision;
        if self.members != members {
            self.members = members;
            self.members_digest = hosts_digest(&self.members);
        }
        true
    }

    /// Takes in one host's entry; whether it is a new host.
    pub(crate) fn set_member(&mut self, host: HostId, member: Member) -> bool {
        self.members_revision = member.key_revision;
        let is_new = self.members.insert(host, member).is_none();
        self.members_digest = hosts_digest(&self.members);
        is_new
    }

    /// Takes a host off the list that was removed at `revision`; whether it was on it.
    pub(crate) fn remove_member(&mut self, host: &str, revision: Revision, now: Monotonic) -> bool {
        let Some((host, member)) = self.members.remove_entry(host) else {
            return false;
        };
        self.members_revision = revision;
        self.members_digest = hosts_digest(&self.members);
        // It may still use what it proved until now.
        self.note_seen(&host, &member, now);
        true
    }

    /// The revision of the entry of `host` in the list that is known.
    pub(crate) fn listed_revision(&self, host: &str) -> Option<Revision> {
        self.members.get(host).map(|member| member.key_revision)
    }

    /// Whether the list that is known is of a time when this host's own entry had been written.
    pub(crate) fn is_list_newer_than_own_entry(&self) -> bool {
        let own = self.membership.as_ref();
        own.is_some_and(|own| self.members_revision >= own.key_revision)
    }

    /// Notes that all hosts of the list were listed at `at`.
    pub(crate) fn note_all_seen(&mut self, at: Monotonic) {
        for (host, member) in &self.members {
            note_latest(&mut self.seen, host, member, at);
        }
    }

    /// The host that `host` asks for a proof; `None` when it reads the store itself, as each does
    /// until it has read once: hosts that start together have nothing to tell each other.
    pub(crate) fn proof_source(
        &self,
        now: Monotonic,
        host: &HostId,
        domain: &str,
    ) -> Option<HostId> {
        self.membership.as_ref()?;
        self.own_read?;
        let hosts = self.members.iter();
        let domains = hosts.map(|(host, member)| (host, &member.domain));
        self.sources.source(now, host, domain, domains)
    }

    /// Notes what a replica of `service` said that was asked at `asked_at`.
    pub(crate) fn note_evidence(
        &mut self,
        service: &ServiceId,
        replica: &InstanceId,
        asked_at: Monotonic,
        is_unmarked: bool,
        replicas: &BTreeSet<InstanceId>,
    ) {
        let evidence = self.evidence.entry(service.clone()).or_default();
        evidence.note(replica, asked_at, is_unmarked);
        let until = if is_unmarked {
            self.proof.valid_until(evidence, replicas)
        } else {
            None
        };
        self.evidence_until
            .insert(service.clone(), until.unwrap_or_default());
    }

    /// Until when the lead of `service` may be relied on.
    pub(crate) fn proved_until(&self, service: &str) -> Monotonic {
        let by_read = self.proof.read_valid_until().unwrap_or_default();
        let by_replicas = self.evidence_until.get(service).copied();
        by_read.max(by_replicas.unwrap_or_default())
    }

    /// Whether the lead of `service` may be relied on at `now`.
    pub(crate) fn is_proved(&self, service: &str, now: Monotonic) -> bool {
        now < self.proved_until(service)
    }

    /// Whether any lead may be relied on at `now`.
    pub(crate) fn is_any_proved(&self, now: Monotonic) -> bool {
        self.table
            .leads
            .keys()
            .any(|service| self.is_proved(service, now))
    }
}

// Answers overtake each other, and an older one must not make a host seem to be gone for longer.
fn note_latest(
    seen: &mut BTreeMap<HostId, (Member, Monotonic)>,
    host: &HostId,
    member: &Member,
    at: Monotonic,
) {
    let latest = seen.get(host).map_or(at, |(_, before)| at.max(*before));
    seen.insert(host.clone(), (member.clone(), latest));
}
