//! Exchanges datagrams with the other hosts.
//!
//! Datagrams carry what hosts must know before the store tells them, or while the store is
//! unavailable. A datagram may be lost, duplicated or late: the host that needs an answer repeats
//! its request, and no datagram undoes another.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use jujubehold_core::acknowledged_commits::AcknowledgedCommits;
use jujubehold_core::store_version::StoreVersion;
use jujubehold_core::vote_budget::VoteRounds;
use log::{debug, warn};
use metrics::counter;
use prost::Message;
use tokio::net::UdpSocket;

use super::directory::answer_directory_question;
use super::lead_document::{format_leads, parse_leads};
use super::peer_message::{AcknowledgedMessage, PeerMessage, PeerMessageKind};
use super::peer_questions::PeerQuestions;
use super::proof_answers::answer_question;
use super::quotas;
use crate::metric_names::{DATAGRAM_BYTES_SENT, DATAGRAMS_SENT};
use crate::prelude::*;

/// The maximum length of a UDP datagram over IPv4, in bytes.
const MAX_DATAGRAM_BYTES: usize = 65_507;
/// A host reports that it reaches a primary if the primary answered it within this time: longer than
/// the pause between two probes of a watcher.
const MAX_ANSWER_AGE: Duration = Duration::from_millis(500);
/// The pause of the receiver after a socket error.
const RECEIVE_ERROR_PAUSE: Duration = Duration::from_millis(50);

/// The hosts that stopped using a primary, with what they acknowledged until then. Earlier versions
/// do not state it.
pub(super) type StoppedHosts = BTreeMap<HostId, Option<AcknowledgedCommits>>;

/// The socket to the other hosts, and the state of requests to them.
#[derive(Debug)]
pub(crate) struct Peers {
    socket: UdpSocket,
    address: SocketAddr,
    /// The hosts that stopped using a primary, by service and by the announcement of the change that
    /// required it.
    stopped: RefCell<BTreeMap<(ServiceId, StoreVersion), StoppedHosts>>,
    /// The services whose primary this host is replacing.
    changing: RefCell<BTreeSet<ServiceId>>,
    /// The round in which this host and the other watchers vote.
    pub(super) vote_rounds: RefCell<VoteRounds>,
    /// The proof question that waits for an answer.
    pub(super) questions: PeerQuestions,
    /// The question for changes of the directory that waits for an answer.
    pub(super) directory_questions: PeerQuestions,
}

impl Peers {
    /// Opens the socket.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self {
            socket,
            address,
            stopped: RefCell::new(BTreeMap::new()),
            changing: RefCell::new(BTreeSet::new()),
            vote_rounds: RefCell::default(),
            questions: PeerQuestions::default(),
            directory_questions: PeerQuestions::default(),
        })
    }

    /// Returns the address at which other hosts reach this one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Records that this host begins to replace the primary of `service`. Returns `false` if it
    /// already does.
    pub(crate) fn begin_change(&self, service: &ServiceId) -> bool {
        self.changing.borrow_mut().insert(service.clone())
    }

    /// Records that this host no longer replaces the primary of `service`.
    pub(crate) fn end_change(&self, service: &str) {
        self.changing.borrow_mut().remove(service);
    }

    /// Returns whether this host is replacing the primary of `service`.
    pub(crate) fn is_changing(&self, service: &str) -> bool {
        self.changing.borrow().contains(service)
    }

    /// Tells the other hosts that watch a primary that this one gets no answer from it.
    pub(crate) fn send_vote<P: Platform>(&self, shared: &Shared<P>, service: &str, instance: &str) {
        let mut message = new_message(shared, PeerMessageKind::Vote);
        service.clone_into(&mut message.service);
        instance.clone_into(&mut message.instance);
        message.vote_round = self.vote_rounds.borrow().round();
        let watchers = shared.lead_state.borrow().primary_watchers();
        let others = watchers
            .iter()
            .filter(|host| **host != shared.settings.host);
        for host in others {
            self.send_to(shared, host, &message);
        }
    }

    /// Sends the table of leads to every other host.
    pub(crate) fn send_table<P: Platform>(&self, shared: &Shared<P>) {
        let message = attach_table(shared, new_message(shared, PeerMessageKind::Table));
        self.send_to_all(shared, &message);
    }

    /// Asks `hosts` to stop using the primary of `service`. `announcement` is that of the change;
    /// the table may be later because of other services' changes.
    pub(crate) fn send_stop<P: Platform>(
        &self,
        shared: &Shared<P>,
        service: &str,
        announcement: StoreVersion,
        hosts: &BTreeSet<HostId>,
    ) {
        let mut message = attach_table(shared, new_message(shared, PeerMessageKind::Stop));
        service.clone_into(&mut message.service);
        message.announcement = announcement.revision;
        for host in hosts {
            self.send_to(shared, host, &message);
        }
    }

    /// Returns the hosts that stopped using the primary of `service` for the change that was
    /// announced at `announcement`.
    pub(super) fn stopped_hosts(
        &self,
        service: &ServiceId,
        announcement: StoreVersion,
    ) -> BTreeSet<HostId> {
        let stopped = self.stopped.borrow();
        let hosts = stopped.get(&(service.clone(), announcement));
        hosts
            .into_iter()
            .flatten()
            .map(|(host, _)| host.clone())
            .collect()
    }

    /// Returns what the hosts that stopped using the primary of `service` for that change have
    /// acknowledged, as far as they said so.
    pub(super) fn acknowledged_commits(
        &self,
        service: &ServiceId,
        announcement: StoreVersion,
    ) -> BTreeMap<HostId, AcknowledgedCommits> {
        let stopped = self.stopped.borrow();
        let hosts = stopped.get(&(service.clone(), announcement));
        let stated = hosts.into_iter().flatten();
        stated
            .filter_map(|(host, commits)| Some((host.clone(), commits.clone()?)))
            .collect()
    }

    fn send_to_all<P: Platform>(&self, shared: &Shared<P>, message: &PeerMessage) {
        let others = shared
            .lead_state
            .borrow()
            .other_hosts(&shared.settings.host, shared.now());
        for host in &others {
            self.send_to(shared, host, message);
        }
    }

    pub(super) fn send_to<P: Platform>(
        &self,
        shared: &Shared<P>,
        host: &str,
        message: &PeerMessage,
    ) {
        let Some(address) = shared.lead_state.borrow().peer_address(host) else {
            return;
        };
        let datagram = message.encode_to_vec();
        let kind = message.kind().name();
        counter!(DATAGRAMS_SENT, "kind" => kind).increment(1);
        counter!(DATAGRAM_BYTES_SENT, "kind" => kind).increment(datagram.len() as u64);
        // A datagram that can't be sent counts as lost; the requester repeats it.
        if let Err(error) = self.socket.try_send_to(&datagram, address) {
            debug!("failed to send a datagram to {host}: {error}");
        }
    }
}

/// Receives and handles datagrams until the future is dropped.
pub(crate) async fn receive<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match peers.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                warn!(error:% = error; "failed to receive a datagram");
                actix_rt::time::sleep(RECEIVE_ERROR_PAUSE).await;
                continue;
            }
        };
        match PeerMessage::decode(&buffer[..length]) {
            Ok(message) => handle_message(&shared, &peers, &message),
            Err(error) => debug!("ignoring an invalid datagram: {error}"),
        }
    }
}

fn handle_message<P: Platform>(shared: &Rc<Shared<P>>, peers: &Peers, message: &PeerMessage) {
    if let Some(table) = &message.table
        && let Some(table) = parse_leads(table, table_version(shared, message))
    {
        shared.adopt_table(table);
    }
    let Ok(kind) = PeerMessageKind::try_from(message.kind) else {
        return;
    };
    match kind {
        PeerMessageKind::Table => {}
        PeerMessageKind::Vote => {
            if record_vote(shared, message, true) {
                let now = shared.now();
                let mut vote_rounds = peers.vote_rounds.borrow_mut();
                vote_rounds.note_heard(now, message.vote_round);
            }
            answer_vote(shared, peers, message);
        }
        PeerMessageKind::Reaches => {
            record_vote(shared, message, false);
        }
        PeerMessageKind::Stop => answer_stop(shared, peers, message),
        PeerMessageKind::Stopped => record_stopped(shared, peers, message),
        PeerMessageKind::ProofQuestion => answer_question(shared, peers, message),
        PeerMessageKind::Proof => peers.questions.deliver_answer(message),
        PeerMessageKind::DirectoryQuestion => answer_directory_question(shared, peers, message),
        PeerMessageKind::DirectoryChanges => peers.directory_questions.deliver_answer(message),
        PeerMessageKind::TokenRequest => quotas::answer_token_request(shared, peers, message),
        PeerMessageKind::TokenAnswer => quotas::apply_token_answer(shared, message),
        PeerMessageKind::ShareRequest => quotas::answer_share_request(shared, peers, message),
        PeerMessageKind::ShareAnswer => quotas::apply_share_answer(shared, message),
        PeerMessageKind::ShareRelease => quotas::apply_release(shared, message),
    }
}

// A host that the store does not list is cut off, so its vote says little about the primary. Returns
// whether the vote counts.
fn record_vote<P: Platform>(shared: &Shared<P>, vote: &PeerMessage, is_unreachable: bool) -> bool {
    let now = shared.now();
    let host: HostId = vote.from.as_str().into();
    if !shared.lead_state.borrow().members.contains_key(&host) {
        return false;
    }
    shared.with_group(&vote.service.as_str().into(), |group| {
        group
            .votes
            .note(now, &host, &vote.instance.as_str().into(), is_unreachable);
    });
    true
}

// Objects to a vote if this host reaches the primary. A host that has not asked it lately does not
// know.
fn answer_vote<P: Platform>(shared: &Shared<P>, peers: &Peers, vote: &PeerMessage) {
    let reaches = shared.upstream(&vote.instance).is_some_and(|upstream| {
        let since = shared.now().saturating_sub(MAX_ANSWER_AGE);
        upstream.health.borrow().has_answered_since(since)
    });
    if reaches {
        let mut answer = new_message(shared, PeerMessageKind::Reaches);
        answer.service.clone_from(&vote.service);
        answer.instance.clone_from(&vote.instance);
        peers.send_to(shared, &vote.from, &answer);
    }
}

// A host that still uses the primary, or that replaces it itself, does not answer and is asked
// again.
fn answer_stop<P: Platform>(shared: &Shared<P>, peers: &Peers, request: &PeerMessage) {
    let service: ServiceId = request.service.as_str().into();
    // A request of another era is from a host whose announcement is gone, or that knows of a restore
    // of which this host does not.
    let requested = table_version(shared, request);
    let known = shared.lead_state.borrow().table.version();
    let has_table = known.era == requested.era && known >= requested;
    if !has_table || peers.is_changing(&service) || !stop_using_primary(shared, &service) {
        return;
    }
    let mut answer = new_message(shared, PeerMessageKind::Stopped);
    answer.service.clone_from(&request.service);
    answer.announcement = request.announcement;
    let newest = shared.with_group(&service, |group| group.acknowledged);
    answer.acknowledged = Some(AcknowledgedMessage {
        process: shared.process,
        term: newest.term,
        position: newest.position,
    });
    peers.send_to(shared, &request.from, &answer);
}

fn record_stopped<P: Platform>(shared: &Shared<P>, peers: &Peers, answer: &PeerMessage) {
    let announcement = StoreVersion {
        era: table_version(shared, answer).era,
        revision: answer.announcement,
    };
    let key = (answer.service.as_str().into(), announcement);
    let mut stopped = peers.stopped.borrow_mut();
    // Keep only the latest change of a service.
    stopped.retain(|(service, announced), _| *service != key.0 || *announced >= key.1);
    let hosts = stopped.entry(key).or_default();
    hosts.insert(
        answer.from.as_str().into(),
        answer.acknowledged.map(Into::into),
    );
}

/// Stops using the primary of `service` that is being replaced, unless open work still runs there
/// and may continue. Returns whether this host has stopped.
pub(crate) fn stop_using_primary<P: Platform>(shared: &Shared<P>, service: &ServiceId) -> bool {
    let now = shared.now();
    shared.with_group(service, |group| {
        let may_continue = group
            .leaving_primary
            .as_ref()
            .is_some_and(|leaving| now < leaving.until);
        if may_continue && group.primary_uses > 0 {
            return false;
        }
        group.leaving_primary = None;
        true
    })
}

pub(super) fn new_message<P: Platform>(shared: &Shared<P>, kind: PeerMessageKind) -> PeerMessage {
    let lead_state = shared.lead_state.borrow();
    PeerMessage {
        from: shared.settings.host.to_string(),
        kind: kind.into(),
        table_revision: lead_state.table.revision,
        table_era: lead_state.table.era,
        hosts_era: lead_state.era,
        ..PeerMessage::default()
    }
}

/// Returns the version of the table that the sender of `message` knows.
pub(super) fn table_version<P: Platform>(
    shared: &Shared<P>,
    message: &PeerMessage,
) -> StoreVersion {
    StoreVersion {
        era: shared.lead_state.borrow().sender_era(message.table_era),
        revision: message.table_revision,
    }
}

pub(super) fn attach_table<P: Platform>(
    shared: &Shared<P>,
    mut message: PeerMessage,
) -> PeerMessage {
    message.table = Some(format_leads(&shared.lead_state.borrow().table).to_vec());
    message
}
