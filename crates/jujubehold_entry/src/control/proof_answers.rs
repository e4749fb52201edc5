//! Answers other hosts with this host's latest read of the store and the primaries' positions.

use jujubehold_core::proof_sharing::ProofSharingSettings;

use super::member_document::format_member;
use super::peer_message::{
    HostMessage, HostsMessage, MarkMessage, PeerMessage, PeerMessageKind, ReadMessage,
};
use super::peers::{Peers, attach_table, new_message};
use crate::prelude::*;

/// The maximum number of hosts in one datagram: an entry takes about 80 bytes, which leaves half of
/// the longest datagram for the rest.
const MAX_HOSTS_PER_DATAGRAM: usize = 100;

/// Answers a host that asks for a proof. If this host has no recent read, the answer contains none,
/// so that the other host turns to another source at once.
pub(super) fn answer_question<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    question: &PeerMessage,
) {
    let mut answer = new_message(shared, PeerMessageKind::Proof);
    if question.table_revision < answer.table_revision {
        answer = attach_table(shared, answer);
    }
    answer.question = question.question;
    answer.hosts_digest = shared.lead_state.borrow().members_digest;
    if answer.hosts_digest != question.hosts_digest {
        answer.hosts = hosts(shared);
    }
    answer.read = own_read(shared);
    answer.marks = primary_positions(shared);
    peers.send_to(shared, &question.from, &answer);
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

// A longer list would not fit into a datagram; the other host then reads it from the store.
fn hosts<P: Platform>(shared: &Shared<P>) -> Option<HostsMessage> {
    let lead_state = shared.lead_state.borrow();
    if lead_state.members.len() > MAX_HOSTS_PER_DATAGRAM {
        return None;
    }
    let hosts = lead_state.members.iter().map(|(host, member)| HostMessage {
        host: host.to_string(),
        entry: format_member(member.peer_address, &member.domain).to_vec(),
        revision: member.key_revision,
    });
    Some(HostsMessage {
        revision: lead_state.members_revision,
        hosts: hosts.collect(),
    })
}

// Other hosts can use only positions of primaries whose lead is proved.
fn primary_positions<P: Platform>(shared: &Shared<P>) -> Vec<MarkMessage> {
    let now = shared.now();
    let services: Vec<ServiceId> = {
        let lead_state = shared.lead_state.borrow();
        let known = lead_state.table.leads.keys();
        known
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
            Some(MarkMessage {
                service: service.to_string(),
                term,
                position,
                age_us: micros(now.saturating_sub(sent_at)),
            })
        })
    };
    services.into_iter().filter_map(of_service).collect()
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
