//! Asks another host of the failure domain for its latest read of the store.

use jujubehold_core::directory_progress::{DirectoryNews, StoreRead};
use jujubehold_core::position_demand::{PositionDemand, PositionDemandSettings};
use jujubehold_core::proof_sharing::{SharedRead, SharedReadCheck, SharedReadFault, happened_at};
use jujubehold_core::quota::HostCount;
use log::warn;

use super::instances::discard_membership;
use super::member_document::parse_member;
use super::peer_message::{
    DepartedHostMessage, DirectoryMessage, HostMessage, HostsMessage, PeerMessage, PeerMessageKind,
    PositionMessage,
};
use super::peers::{Peers, new_message, table_version};
use crate::prelude::*;

/// The timeout of an answer within a failure domain: enough for a busy host, and much more than the
/// network delay.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The reason why a question resulted in no proof.
#[derive(Debug, thiserror::Error)]
pub(super) enum QuestionError {
    #[error("the host did not answer in time")]
    NoAnswer,
    #[error("the host has no recent read")]
    NoRead,
    #[error("the read can't serve as a proof on this host: {}", .0.as_str())]
    Unusable(SharedReadFault),
}

/// Asks `source` for its read and applies its answer. Returns the age of its read.
pub(super) async fn ask<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    source: &HostId,
) -> Result<Duration, QuestionError> {
    let settings = PositionDemandSettings::default();
    let service_count = shared.lead_state.borrow().table.leads.len();
    let names_services = settings.names_services(service_count);
    let wanted_services = names_services.then(|| wanted_services(shared, &settings));
    let (sent_at, answer) = send_question(shared, peers, source, wanted_services).await?;
    apply_answer(shared, sent_at, &answer)
}

/// Asks `host` which hosts were listed lately.
pub(super) async fn ask_for_departed_hosts<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    host: &HostId,
) -> Result<(), QuestionError> {
    let no_services = Some(Vec::new());
    let (sent_at, answer) = send_question(shared, peers, host, no_services).await?;
    apply_known_hosts(shared, sent_at, &answer);
    Ok(())
}

// Asks for the positions of the primaries of `wanted_services`, or of all services if it is `None`.
// Returns when the question was sent, and the answer.
async fn send_question<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    host: &HostId,
    wanted_services: Option<Vec<String>>,
) -> Result<(Monotonic, PeerMessage), QuestionError> {
    let (number, receiver) = peers.questions.begin();
    let mut question = new_message(shared, PeerMessageKind::ProofQuestion);
    question.question = number;
    question.names_services = wanted_services.is_some();
    question.wanted_services = wanted_services.unwrap_or_default();
    {
        let lead_state = shared.lead_state.borrow();
        question.hosts_digest = lead_state.members_digest;
        question.hosts_revision = lead_state.members_revision;
    }
    let sent_at = shared.now();
    peers.send_to(shared, host, &question);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
    let answer = answer
        .ok()
        .and_then(Result::ok)
        .ok_or(QuestionError::NoAnswer)?;
    Ok((sent_at, answer))
}

// Returns the services that callers of this host have read lately.
fn wanted_services<P: Platform>(
    shared: &Shared<P>,
    settings: &PositionDemandSettings,
) -> Vec<String> {
    let now = shared.now();
    let groups = shared.groups.borrow();
    let wanted = groups.iter().filter(|(_, group)| {
        let demand = PositionDemand {
            is_watcher: false,
            has_source: true,
            wanted_at: group.position_wanted_at,
        };
        demand.is_asked_for(settings, now)
    });
    wanted.map(|(service, _)| service.to_string()).collect()
}

fn apply_answer<P: Platform>(
    shared: &Shared<P>,
    sent_at: Monotonic,
    answer: &PeerMessage,
) -> Result<Duration, QuestionError> {
    let shared_read = answer.read.as_ref().ok_or(QuestionError::NoRead)?;
    let hosts_era = shared.lead_state.borrow().sender_era(answer.hosts_era);
    apply_known_hosts(shared, sent_at, answer);
    if let Some(counted) = answer.counted_hosts
        && let Some(count) = HostCount::received(sent_at, &counted.into())
    {
        shared.quotas.note_count(shared.now(), count);
    }
    let read = SharedRead {
        age: Duration::from_micros(shared_read.age_us),
        era: hosts_era,
        revision: shared_read.revision,
        table: table_version(shared, answer),
        hosts_digest: answer.hosts_digest,
    };
    if let Some(directory) = &answer.directory {
        let read = StoreRead {
            read_at: happened_at(sent_at, read.age),
            era: directory.era,
            revision: read.revision,
        };
        apply_directory_news(shared, directory, &read);
    }
    {
        let mut lead_state = shared.lead_state.borrow_mut();
        let membership = lead_state.membership.as_ref();
        let check = SharedReadCheck {
            sent_at,
            era: lead_state.era,
            own_key_revision: membership.map_or(u64::MAX, |own| own.key_revision),
            listed_revision: lead_state.listed_revision(&shared.settings.host),
            table: lead_state.table.version(),
            hosts_digest: lead_state.members_digest,
        };
        let result = read.sent_at(&check);
        if result == Err(SharedReadFault::NotListed) && lead_state.is_list_newer_than_own_entry() {
            discard_membership(shared, &mut lead_state);
        }
        let read_at = result.map_err(QuestionError::Unusable)?;
        lead_state.proof.note_read(read_at);
        lead_state.note_all_listed(read_at);
    }
    for position in &answer.positions {
        apply_position(shared, sent_at, position);
    }
    shared.changed.notify_waiters();
    Ok(read.age)
}

// Applies what another host knows of the directory, and the read by which it knows it.
fn apply_directory_news<P: Platform>(
    shared: &Shared<P>,
    directory: &DirectoryMessage,
    read: &StoreRead,
) {
    let news = DirectoryNews {
        era: directory.era,
        reached: directory.reached,
        changed: directory.changed,
    };
    shared.directory_progress.borrow_mut().note_news(&news);
    shared.note_store_read(read);
}

// Applies the hosts that another host knows, which was asked at `sent_at`.
fn apply_known_hosts<P: Platform>(shared: &Shared<P>, sent_at: Monotonic, answer: &PeerMessage) {
    let has_same_era = {
        let lead_state = shared.lead_state.borrow();
        lead_state.sender_era(answer.hosts_era) == lead_state.era
    };
    let knows_departed = apply_departed(shared, &answer.departed);
    if !has_same_era {
        return;
    }
    if let Some(hosts) = &answer.hosts {
        apply_hosts(shared, sent_at, hosts);
    }
    let mut lead_state = shared.lead_state.borrow_mut();
    let has_same_list = lead_state.members_digest == answer.hosts_digest;
    if answer.knows_all_hosts && knows_departed && has_same_list {
        lead_state.proof.note_complete_list(sent_at);
    }
}

// Applies the list of another host if it is of a later revision; the watch continues from there.
fn apply_hosts<P: Platform>(shared: &Shared<P>, sent_at: Monotonic, listing: &HostsMessage) {
    let parse = |host: &HostMessage| {
        let member = parse_member(&host.entry, host.revision)?;
        Some((HostId::from(host.host.as_str()), member))
    };
    // A list with an invalid entry is not complete.
    let hosts: Option<Vec<_>> = listing.hosts.iter().map(parse).collect();
    let Some(hosts) = hosts else {
        warn!(revision = listing.revision; "ignoring another host's invalid list of hosts");
        return;
    };
    let mut lead_state = shared.lead_state.borrow_mut();
    let known_revision = lead_state.members_revision;
    if listing.revision <= known_revision {
        return;
    }
    if listing.base_revision == 0 {
        let members = hosts.into_iter().collect();
        lead_state.set_members(members, listing.revision, sent_at, shared.now());
    } else if listing.base_revision <= known_revision {
        let removed = listing.removed.iter();
        let removed: Vec<_> = removed
            .map(|removal| (HostId::from(removal.host.as_str()), removal.revision))
            .collect();
        lead_state.apply_member_changes(hosts, &removed, listing.revision, shared.now());
    }
}

// Returns whether this host knows all of them now: one with an invalid entry is left out.
fn apply_departed<P: Platform>(shared: &Shared<P>, departed: &[DepartedHostMessage]) -> bool {
    let now = shared.now();
    let mut knows_all = true;
    let mut lead_state = shared.lead_state.borrow_mut();
    for host in departed {
        // It may have joined again, at another address.
        if lead_state.members.contains_key(host.host.as_str()) {
            continue;
        }
        let Some(member) = parse_member(&host.entry, 0) else {
            warn!(host = host.host.as_str(); "ignoring another host's invalid entry");
            knows_all = false;
            continue;
        };
        // The age was computed before the answer was sent, so this is no earlier than the listing.
        let listed_at = now.saturating_sub(Duration::from_micros(host.age_us));
        lead_state.note_listed(&host.host.as_str().into(), &member, listed_at);
    }
    knows_all
}

fn apply_position<P: Platform>(
    shared: &Shared<P>,
    asked_at: Monotonic,
    reported: &PositionMessage,
) {
    let age = Duration::from_micros(reported.age_us);
    let has_primary = {
        let lead_state = shared.lead_state.borrow();
        lead_state.table.usable_primary(&reported.service).is_some()
    };
    if has_primary {
        let service = ServiceId::from(reported.service.as_str());
        shared.with_group(&service, |group| {
            group
                .primary_positions
                .add_reported(reported.term, asked_at, age, reported.position);
        });
    }
}
