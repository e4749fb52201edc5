//! What this host knows of the leads, and how long it may rely on it.
//!
//! A lead is a service's entry in the table of leads: its primary and, during a change, the host
//! that makes the change. A host starts work at a primary only while the lead is
//! proved to be current, by a read of the table or by evidence of the replicas.

use std::cell::OnceCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use jujubehold_core::lead_proof::{LeadProof, LeadProofSettings};
use jujubehold_core::lead_table::LeadTable;
use jujubehold_core::primary_watchers::primary_watchers;
use jujubehold_core::proof_sharing::ProofSources;
use jujubehold_core::replica_evidence::ReplicaEvidence;
use jujubehold_core::store_version::{Revision, StoreEra};

use crate::hosts_digest::hosts_digest;
use crate::prelude::*;
use crate::protocol::LeaseId;
use crate::removed_members::RemovedMembers;

/// The leads, the listed hosts, and this host's proof that both are current.
#[derive(Debug)]
pub(crate) struct LeadState {
    pub(crate) table: LeadTable,
    /// The latest era that the store has stated. The revisions of the list of hosts and of this
    /// host's own entry and read belong to it.
    pub(crate) era: StoreEra,
    /// The era that the store stated first.
    first_era: StoreEra,
    /// The table that the store holds from before it was restored, if no host has recorded the leads
    /// anew since.
    pub(crate) restored_table: Option<LeadTable>,
    pub(crate) proof: LeadProof,
    /// All hosts that the store lists, including this one.
    pub(crate) members: BTreeMap<HostId, Member>,
    /// The digest of `members`.
    pub(crate) members_digest: u64,
    /// The store's revision as of which `members` holds.
    pub(crate) members_revision: Revision,
    /// The hosts that watch the primaries, computed from `members` on demand.
    watchers: OnceCell<Rc<[HostId]>>,
    /// The hosts that were removed from the list.
    pub(crate) removed: RemovedMembers,
    /// The hosts that were listed recently, with the latest time at which they were. A host that is
    /// no longer listed may be running and reachable by the others.
    pub(crate) recently_listed: BTreeMap<HostId, (Member, Monotonic)>,
    /// When a process last was no longer listed, or another one took its place, as far as this host
    /// knows; `None` if that never happened.
    last_departure: Option<Monotonic>,
    pub(crate) membership: Option<Membership>,
    /// The latest read of the store that this host made itself.
    pub(crate) own_read: Option<OwnRead>,
    /// The hosts that may be asked for their reads.
    pub(crate) proof_sources: ProofSources,
    /// The instances' evidence, by service, that no host is replacing the primary.
    pub(crate) evidence: BTreeMap<ServiceId, ReplicaEvidence>,
    /// Until when the replicas' evidence proves the lead of each service.
    evidence_until: BTreeMap<ServiceId, Monotonic>,
}

/// A host in the list of hosts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct Member {
    pub(crate) peer_address: SocketAddr,
    /// Empty if the host's entry does not state it.
    pub(crate) domain: DomainId,
    /// The process that wrote the entry; 0 if the entry does not state it.
    pub(crate) process: Nonce,
    /// The store's revision of its entry.
    pub(crate) key_revision: Revision,
}

/// A complete read of the keys that hosts write.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct OwnRead {
    /// When the read was sent to the store.
    pub(crate) sent_at: Monotonic,
    /// The store's revision as of which the read holds.
    pub(crate) revision: Revision,
}

/// This host's entry in the list of hosts.
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
            era: 0,
            first_era: 0,
            restored_table: None,
            proof: LeadProof::new(LeadProofSettings::default(), is_first_start),
            members: BTreeMap::new(),
            members_digest: 0,
            members_revision: 0,
            watchers: OnceCell::new(),
            removed: RemovedMembers::default(),
            recently_listed: BTreeMap::new(),
            last_departure: None,
            membership: None,
            own_read: None,
            proof_sources: ProofSources::default(),
            evidence: BTreeMap::new(),
            evidence_until: BTreeMap::new(),
        }
    }

    /// Records that the store states `era`. In a later era than the known one, all entries of hosts
    /// are gone and revisions are given out again, so nothing that the store said before is compared
    /// with its answers. Returns whether this host has lost its own entry.
    pub(crate) fn note_era(&mut self, era: StoreEra, now: Monotonic) -> bool {
        if era <= self.era {
            return false;
        }
        let is_first = self.era == 0;
        self.era = era;
        if is_first {
            self.first_era = era;
            return false;
        }
        self.note_departure(now);
        // Every host that was listed may still rely on what it proved until now. The list is kept until
        // the first one of the new era.
        self.note_all_listed(now);
        self.members_revision = 0;
        self.removed = RemovedMembers::default();
        self.own_read = None;
        self.restored_table = None;
        self.proof.note_restored();
        self.membership.take().is_some()
    }

    /// Returns the era to which revisions in a datagram belong that states `era`. Earlier versions
    /// state none; until this host sees a restore, theirs is the same as its own.
    pub(crate) fn sender_era(&self, era: StoreEra) -> StoreEra {
        if era == 0 && self.era == self.first_era {
            self.era
        } else {
            era
        }
    }

    /// Returns whether the known table was written in the store's present era.
    pub(crate) fn has_present_table(&self) -> bool {
        self.table.era == self.era
    }

    /// Returns whether `table`, which the store holds, was written in the store's present era, or
    /// names no primary that may have been replaced.
    pub(crate) fn is_present_table(&self, table: &LeadTable) -> bool {
        // Earlier versions do not state the era of a table. Once this host knows one of the present
        // era, the store holds that one or a later one.
        let is_known = self.has_present_table() && table.revision >= self.table.revision;
        let is_empty = table.leads.is_empty() && self.table.leads.is_empty();
        table.era == self.era || is_known || is_empty
    }

    /// Returns whether the leads have to be recorded anew, because the store was restored.
    pub(crate) fn needs_recovery(&self) -> bool {
        let is_listed = self.membership.is_some();
        is_listed && self.restored_table.is_some() && !self.has_present_table()
    }

    /// Returns the hosts that were listed at any time since `since`, including this one.
    pub(crate) fn listed_since(&self, since: Monotonic) -> BTreeSet<HostId> {
        let listed = self
            .recently_listed
            .iter()
            .filter(|(_, (_, at))| *at >= since);
        listed
            .map(|(host, _)| host.clone())
            .chain(self.members.keys().cloned())
            .collect()
    }

    /// Returns the other hosts that may still use a primary at `now`.
    pub(crate) fn other_hosts(&self, host: &str, now: Monotonic) -> BTreeSet<HostId> {
        let max_use = LeadProofSettings::default().max_use_after_listing();
        let mut others = self.listed_since(now.saturating_sub(max_use));
        others.remove(host);
        others
    }

    /// Returns the datagram address of a host that is or was listed.
    pub(crate) fn peer_address(&self, host: &str) -> Option<SocketAddr> {
        self.recently_listed
            .get(host)
            .map(|(member, _)| member.peer_address)
    }

    /// Records that a host was listed at `at`.
    pub(crate) fn note_listed(&mut self, host: &HostId, member: &Member, at: Monotonic) {
        note_latest_listing(&mut self.recently_listed, host, member, at);
    }

    /// Applies the complete list of hosts as of `revision`, which was requested at `sent_at` and
    /// answered at `now`.
    /// Returns `false` if it is older than the known one.
    pub(crate) fn set_members(
        &mut self,
        members: BTreeMap<HostId, Member>,
        revision: Revision,
        sent_at: Monotonic,
        now: Monotonic,
    ) -> bool {
        for (host, member) in &members {
            self.note_listed(host, member, sent_at);
        }
        if revision < self.members_revision {
            return false;
        }
        self.members_revision = revision;
        self.removed.begin(revision);
        if self.members != members {
            let before = std::mem::replace(&mut self.members, members);
            for (host, earlier) in before {
                let process = self.members.get(&host).map(|member| member.process);
                if process != Some(earlier.process) {
                    self.note_departure(now);
                }
                if process.is_none() {
                    self.removed.note(&host, revision);
                }
            }
            self.note_members_changed();
        }
        true
    }

    /// Applies one host's entry, which this host learned of at `now`. Returns whether the host is new.
    pub(crate) fn set_member(&mut self, host: HostId, member: Member, now: Monotonic) -> bool {
        self.members_revision = member.key_revision;
        let process = member.process;
        let earlier = self.members.insert(host, member);
        if earlier
            .as_ref()
            .is_some_and(|earlier| earlier.process != process)
        {
            self.note_departure(now);
        }
        self.note_members_changed();
        earlier.is_none()
    }

    fn note_departure(&mut self, now: Monotonic) {
        self.last_departure = self.last_departure.max(Some(now));
    }

    /// Returns until when processes that can't be asked any more may have used a primary; `None` if
    /// there are none.
    pub(crate) fn unlisted_use_until(&self) -> Option<Monotonic> {
        let max_use = LeadProofSettings::default().max_use_after_listing();
        // Those that another host named may have departed before this host followed the list.
        let named = self.departed(Monotonic::ZERO);
        let named = named.first().map(|(_, _, at)| *at);
        let departed = self.last_departure.max(named).map(|at| at + max_use);
        departed.max(self.proof.unlisted_use_until())
    }

    /// Removes a host whose entry was removed at `revision`. Returns whether it was listed.
    pub(crate) fn remove_member(&mut self, host: &str, revision: Revision, now: Monotonic) -> bool {
        let Some((host, member)) = self.members.remove_entry(host) else {
            return false;
        };
        self.members_revision = revision;
        self.removed.note(&host, revision);
        self.note_departure(now);
        self.note_members_changed();
        // The host may still rely on what it proved until now.
        self.note_listed(&host, &member, now);
        true
    }

    /// Returns the number of failure domains that have hosts.
    pub(crate) fn domain_count(&self) -> usize {
        let domains: BTreeSet<_> = self.members.values().map(|member| &member.domain).collect();
        domains.len()
    }

    fn note_members_changed(&mut self) {
        self.members_digest = hosts_digest(&self.members);
        self.watchers = OnceCell::new();
    }

    /// Returns the hosts that watch the primaries, in the order in which they act.
    pub(crate) fn primary_watchers(&self) -> Rc<[HostId]> {
        let watchers = || primary_watchers(self.members.keys()).into();
        Rc::clone(self.watchers.get_or_init(watchers))
    }

    /// Applies changes of the list after its known revision, which another host reported.
    pub(crate) fn apply_member_changes(
        &mut self,
        written: Vec<(HostId, Member)>,
        removed: &[(HostId, Revision)],
        revision: Revision,
        now: Monotonic,
    ) {
        for (host, removed_at) in removed {
            let is_listed = self
                .listed_revision(host)
                .is_some_and(|key_revision| key_revision < *removed_at);
            if is_listed {
                self.remove_member(host, *removed_at, now);
            }
        }
        for (host, member) in written {
            self.note_listed(&host, &member, now);
            if self.listed_revision(&host) < Some(member.key_revision) {
                self.set_member(host, member, now);
            }
        }
        self.members_revision = revision;
    }

    /// Returns the hosts that were listed recently and are no longer, with the time at which they
    /// were last listed, the latest first.
    pub(crate) fn departed(&self, since: Monotonic) -> Vec<(&HostId, &Member, Monotonic)> {
        let recent = self.recently_listed.iter();
        let mut departed: Vec<_> = recent
            .filter(|(host, (_, at))| *at >= since && !self.members.contains_key(*host))
            .map(|(host, (member, at))| (host, member, *at))
            .collect();
        departed.sort_by_key(|(_, _, at)| std::cmp::Reverse(*at));
        departed
    }

    /// Returns the revision of the entry of `host` in the known list.
    pub(crate) fn listed_revision(&self, host: &str) -> Option<Revision> {
        self.members.get(host).map(|member| member.key_revision)
    }

    /// Returns whether the known list is from after this host's own entry was written.
    pub(crate) fn is_list_newer_than_own_entry(&self) -> bool {
        let own = self.membership.as_ref();
        own.is_some_and(|own| self.members_revision >= own.key_revision)
    }

    /// Records that all known hosts were listed at `at`.
    pub(crate) fn note_all_listed(&mut self, at: Monotonic) {
        for (host, member) in &self.members {
            note_latest_listing(&mut self.recently_listed, host, member, at);
        }
    }

    /// Returns the host that `host` asks for a proof, or `None` if it reads the store itself. Every
    /// host reads the store itself at first: hosts that start together have no reads to share.
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
        self.proof_sources.source(now, host, domain, domains)
    }

    /// Records whether an instance of `service` that was asked at `sent_at` confirmed the primary.
    /// The lead is proved if all of `required` have.
    pub(crate) fn note_evidence(
        &mut self,
        service: &ServiceId,
        instance: &InstanceId,
        sent_at: Monotonic,
        has_confirmed: bool,
        required: &BTreeSet<InstanceId>,
    ) {
        let evidence = self.evidence.entry(service.clone()).or_default();
        evidence.note(instance, sent_at, has_confirmed);
        let until = if has_confirmed {
            self.proof.valid_until(evidence, required)
        } else {
            None
        };
        self.evidence_until
            .insert(service.clone(), until.unwrap_or_default());
    }

    /// Returns the time until which the lead of `service` is proved.
    pub(crate) fn proved_until(&self, service: &str) -> Monotonic {
        let by_read = self.proof.read_valid_until().unwrap_or_default();
        let by_replicas = self.evidence_until.get(service).copied();
        by_read.max(by_replicas.unwrap_or_default())
    }

    /// Returns whether the lead of `service` is proved at `now`.
    pub(crate) fn is_proved(&self, service: &str, now: Monotonic) -> bool {
        now < self.proved_until(service)
    }

    /// Returns whether any lead is proved at `now`.
    pub(crate) fn has_proved_lead(&self, now: Monotonic) -> bool {
        self.table
            .leads
            .keys()
            .any(|service| self.is_proved(service, now))
    }
}

// Answers may arrive out of order, and an older one must not move back the time at which a host was
// last listed.
fn note_latest_listing(
    listed: &mut BTreeMap<HostId, (Member, Monotonic)>,
    host: &HostId,
    member: &Member,
    at: Monotonic,
) {
    let latest = listed.get(host).map_or(at, |(_, before)| at.max(*before));
    listed.insert(host.clone(), (member.clone(), latest));
}
