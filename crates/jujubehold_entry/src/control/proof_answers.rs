//! Answers other hosts with this host's latest read of the store and the primaries' positions.

use std::collections::BTreeSet;

use jujubehold_core::lead_proof::LeadProofSettings;
use jujubehold_core::proof_sharing::ProofSharingSettings;
use jujubehold_core::store_version::Revision;

use super::member_document::format_member;
use super::peer_message::{
    DepartedHostMessage, DirectoryMessage, HostMessage, HostsMessage, PeerMessage, PeerMessageKind,
    PositionMessage, ReadMessage, RemovedHostMessage,
};
use super::peers::{Peers, attach_table, new_message, table_version};
use crate::lead_state::{LeadState, Member};
use crate::prelude::*;
use crate::shared::micros;

/// The maximum number of hosts in one datagram: an entry takes about 80 bytes, which leaves half of
/// the longest datagram for the rest.
const MAX_HOSTS_PER_DATAGRAM: usize = 100;
/// The maximum number of hosts in one datagram that are no longer listed.
const MAX_DEPARTED_PER_DATAGRAM: usize = 20;

/// Answers a host that asks for a proof. If this host has no recent read, the answer contains none,
/// so that the other host turns to another source at once.
pub(super) fn answer_question<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    question: &PeerMessage,
) {
    let mut answer = new_message(shared, PeerMessageKind::Proof);
    if table_version(shared, question) < shared.lead_state.borrow().table.version() {
        answer = attach_table(shared, answer);
    }
    answer.question = question.question;
    answer.hosts_digest = shared.lead_state.borrow().members_digest;
    let has_same_era = {
        let lead_state = shared.lead_state.borrow();
        lead_state.sender_era(question.hosts_era) == lead_state.era
    };
    if has_same_era && answer.hosts_digest != question.hosts_digest {
        answer.hosts = hosts(shared, question.hosts_revision);
    }
    answer.directory = directory_news(shared);
    let departed = departed_hosts(shared);
    answer.departed = departed.hosts;
    answer.knows_all_hosts = departed.is_complete;
    answer.read = own_read(shared);
    answer.counted_hosts = shared.quotas.counted_hosts(shared.now()).map(Into::into);
    answer.positions = primary_positions(shared, question);
    peers.send_to(shared, &question.from, &answer);
}

// Returns what this host knows of the directory, unless it has to list the directory again.
fn directory_news<P: Platform>(shared: &Shared<P>) -> Option<DirectoryMessage> {
    if shared.is_store_restored() {
        return None;
    }
    let news = shared.directory_progress.borrow().news();
    Some(DirectoryMessage {
        reached: news.reached,
        changed: news.changed,
        era: news.era,
    })
}

fn own_read<P: Platform>(shared: &Shared<P>) -> Option<ReadMessage> {
    let lead_state = shared.lead_state.borrow();
    let read = lead_state.own_read?;
    let age = shared.now().saturating_sub(read.sent_at);
    let settings = ProofSharingSettings::default();
    settings.may_share_read(age).then(|| ReadMessage {
        age_us: micros(age),
        revision: read.revision,
    })
}

// Returns the changes of the list since the other host's revision, as many as fit into a datagram,
// or else the whole list. If that does not fit either, the other host reads it from the store.
fn hosts<P: Platform>(shared: &Shared<P>, known_revision: Revision) -> Option<HostsMessage> {
    let lead_state = shared.lead_state.borrow();
    let until = lead_state.members_revision;
    if known_revision > until {
        return None;
    }
    if let Some(changes) = host_changes(&lead_state, known_revision) {
        return Some(changes);
    }
    let hosts = lead_state.members.iter();
    let message = HostsMessage {
        revision: until,
        hosts: hosts.map(host_message).collect(),
        ..HostsMessage::default()
    };
    (message.hosts.len() <= MAX_HOSTS_PER_DATAGRAM).then_some(message)
}

fn host_changes(lead_state: &LeadState, base_revision: Revision) -> Option<HostsMessage> {
    let mut until = lead_state.members_revision;
    lead_state.removed.between(base_revision, until)?;
    let members = lead_state.members.iter();
    let mut hosts: Vec<_> = members
        .filter(|(_, member)| member.key_revision > base_revision)
        .map(host_message)
        .collect();
    if hosts.len() > MAX_HOSTS_PER_DATAGRAM {
        hosts.sort_by_key(|host| host.revision);
        hosts.truncate(MAX_HOSTS_PER_DATAGRAM);
        until = hosts.last()?.revision;
    }
    let removed = lead_state.removed.between(base_revision, until)?;
    let removed: Vec<_> = removed
        .into_iter()
        .map(|(host, revision)| RemovedHostMessage {
            host: host.to_string(),
            revision,
        })
        .collect();
    let message = HostsMessage {
        revision: until,
        hosts,
        base_revision,
        removed,
    };
    (message.removed.len() <= MAX_HOSTS_PER_DATAGRAM).then_some(message)
}

fn host_message((host, member): (&HostId, &Member)) -> HostMessage {
    HostMessage {
        host: host.to_string(),
        entry: format_member(member.peer_address, &member.domain, member.process).to_vec(),
        revision: member.key_revision,
    }
}

/// The hosts that are no longer listed and may still use a primary.
struct DepartedHosts {
    hosts: Vec<DepartedHostMessage>,
    /// Whether there is no other such host.
    is_complete: bool,
}

// A host that was listed only between two answers must be known to whoever replaces a primary.
fn departed_hosts<P: Platform>(shared: &Shared<P>) -> DepartedHosts {
    let now = shared.now();
    let lead_state = shared.lead_state.borrow();
    let max_use = LeadProofSettings::default().max_use_after_listing();
    let departed = lead_state.departed(now.saturating_sub(max_use));
    let is_complete =
        departed.len() <= MAX_DEPARTED_PER_DATAGRAM && lead_state.proof.knows_all_hosts(now);
    let latest = departed.into_iter().take(MAX_DEPARTED_PER_DATAGRAM);
    let hosts = latest.map(|(host, member, at)| DepartedHostMessage {
        host: host.to_string(),
        entry: format_member(member.peer_address, &member.domain, member.process).to_vec(),
        age_us: micros(now.saturating_sub(at)),
    });
    DepartedHosts {
        hosts: hosts.collect(),
        is_complete,
    }
}

// Other hosts can use only positions of primaries whose lead is proved.
fn primary_positions<P: Platform>(
    shared: &Shared<P>,
    question: &PeerMessage,
) -> Vec<PositionMessage> {
    let now = shared.now();
    let wanted: BTreeSet<_> = question
        .wanted_services
        .iter()
        .map(String::as_str)
        .collect();
    let is_wanted = |service: &str| !question.names_services || wanted.contains(service);
    let services: Vec<ServiceId> = {
        let lead_state = shared.lead_state.borrow();
        let known = lead_state.table.leads.keys();
        known
            .filter(|service| is_wanted(service))
            .filter(|service| lead_state.table.usable_primary(service).is_some())
            .filter(|service| lead_state.is_proved(service, now))
            .cloned()
            .collect()
    };
    let of_service = |service: ServiceId| {
        shared.with_group(&service, |group| {
            // The asking host relies on this host to keep the positions fresh.
            group.position_wanted_at = Some(now);
            let term = group.primary_positions.term();
            let (position, sent_at) = group.primary_positions.newest_position()?;
            Some(PositionMessage {
                service: service.to_string(),
                term,
                position,
                age_us: micros(now.saturating_sub(sent_at)),
            })
        })
    };
    services.into_iter().filter_map(of_service).collect()
}
