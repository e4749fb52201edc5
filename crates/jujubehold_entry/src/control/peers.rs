//! Talks with the other hosts by datagrams.
//!
//! They carry what must be known sooner than the store tells it, or while it tells nothing. Each
//! may be lost, doubled or late: all are repeated by who needs them, and none undoes another.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use jujubehold_core::lead_table::Revision;
use log::{debug, warn};
use prost::Message;
use tokio::net::UdpSocket;

use super::lead_document::{format_leads, parse_leads};
use super::peer_message::{PeerMessage, PeerMessageKind};
use super::proof_answers::answer_question;
use super::proof_questions::ProofQuestions;
use crate::prelude::*;

/// The longest datagram: the list of hosts, the table of leads and the positions of as many services
/// as one host serves.
const MAX_DATAGRAM_BYTES: usize = 16 * 1024;
/// A host that had an answer of a primary within this time says that it reaches it.
const REACHED_WITHIN: Duration = Duration::from_millis(300);
/// How long the receiver rests after an error of the socket.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// The socket to the other hosts, and what they answered.
#[derive(Debug)]
pub(crate) struct Peers {
    socket: UdpSocket,
    address: SocketAddr,
    /// The hosts that stopped using a primary, by the change that asked them to.
    stopped: RefCell<BTreeMap<(ServiceId, Revision), BTreeSet<HostId>>>,
    /// The services whose primary this host is replacing.
    changing: RefCell<BTreeSet<ServiceId>>,
    /// The question for a proof that is under way.
    pub(super) questions: ProofQuestions,
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
            questions: ProofQuestions::default(),
        })
    }

    /// Where other hosts reach this one.
    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Notes that this host begins to replace the primary of `service`.
    pub(crate) fn begin_change(&self, service: &ServiceId) -> bool {
        self.changing.borrow_mut().insert(service.clone())
    }

    /// Notes that it no longer does.
    pub(crate) fn end_change(&self, service: &str) {
        self.changing.borrow_mut().remove(service);
    }

    /// Whether this host replaces the primary of `service`.
    pub(crate) fn is_changing(&self, service: &str) -> bool {
        self.changing.borrow().contains(service)
    }

    /// Tells every other host that this one misses a primary.
    pub(crate) fn vote<P: Platform>(&self, shared: &Shared<P>, service: &str, instance: &str) {
        let mut message = message(shared, PeerMessageKind::Vote);
        service.clone_into(&mut message.service);
        instance.clone_into(&mut message.instance);
        self.send_to_all(shared, &message);
    }

    /// Tells every other host the table of leads.
    pub(crate) fn tell_table<P: Platform>(&self, shared: &Shared<P>) {
        let message = with_table(shared, message(shared, PeerMessageKind::Table));
        self.send_to_all(shared, &message);
    }

    /// Asks `hosts` to stop using the primary of `service`, whose change was announced at
    /// `revision`; other services' changes may have moved the table since.
    pub(crate) fn ask_stop<P: Platform>(
        &self,
        shared: &Shared<P>,
        service: &str,
        revision: Revision,
        hosts: &BTreeSet<HostId>,
    ) {
        let mut message = with_table(shared, message(shared, PeerMessageKind::Stop));
        service.clone_into(&mut message.service);
        message.announcement = revision;
        for host in hosts {
            self.send_to(shared, host, &message);
        }
    }

    /// The hosts that stopped for the change at `revision`.
    pub(crate) fn stopped(&self, service: &ServiceId, revision: Revision) -> BTreeSet<HostId> {
        let stopped = self.stopped.borrow();
        stopped
            .get(&(service.clone(), revision))
            .cloned()
            .unwrap_or_default()
    }

    fn send_to_all<P: Platform>(&self, shared: &Shared<P>, message: &PeerMessage) {
        let others = shared
            .lead
            .borrow()
            .others(&shared.settings.host, shared.now());
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
        let Some(address) = shared.lead.borrow().peer_address(host) else {
            return;
        };
        // A datagram that can't be sent counts as lost, and is sent again by who needs it.
        if let Err(error) = self.socket.try_send_to(&message.encode_to_vec(), address) {
            debug!("no datagram to {host}: {error}");
        }
    }
}

/// Takes in datagrams until the future is dropped.
pub(crate) async fn receive<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    loop {
        let length = match peers.socket.recv_from(&mut buffer).await {
            Ok((length, _)) => length,
            Err(error) => {
                warn!(error:% = error; "a datagram could not be received");
                actix_rt::time::sleep(RECEIVE_PAUSE).await;
                continue;
            }
        };
        match PeerMessage::decode(&buffer[..length]) {
            Ok(message) => take_in(&shared, &peers, &message),
            Err(error) => debug!("a datagram can't be read: {error}"),
        }
    }
}

fn take_in<P: Platform>(shared: &Shared<P>, peers: &Peers, message: &PeerMessage) {
    if let Some(table) = &message.table
        && let Some(table) = parse_leads(table, message.table_revision)
    {
        shared.adopt_table(table);
    }
    let Ok(kind) = PeerMessageKind::try_from(message.kind) else {
        return;
    };
    match kind {
        PeerMessageKind::Table => {}
        PeerMessageKind::Vote => {
            take_vote(shared, message, true);
            answer_vote(shared, peers, message);
        }
        PeerMessageKind::Reaches => take_vote(shared, message, false),
        PeerMessageKind::Stop => answer_stop(shared, peers, message),
        PeerMessageKind::Stopped => take_stopped(peers, message),
        PeerMessageKind::ProofQuestion => answer_question(shared, peers, message),
        PeerMessageKind::Proof => peers.questions.take_answer(message),
    }
}

// A host that the store does not list is cut off, and what it misses says little.
fn take_vote<P: Platform>(shared: &Shared<P>, vote: &PeerMessage, misses: bool) {
    let now = shared.now();
    let host: HostId = vote.from.as_str().into();
    if !shared.lead.borrow().members.contains_key(&host) {
        return;
    }
    shared.with_group(&vote.service.as_str().into(), |group| {
        group
            .votes
            .note(now, &host, &vote.instance.as_str().into(), misses);
    });
}

// A host that reaches what another one misses says so.
fn answer_vote<P: Platform>(shared: &Shared<P>, peers: &Peers, vote: &PeerMessage) {
    let reaches = shared.upstream(&vote.instance).is_some_and(|upstream| {
        upstream
            .silent_since()
            .is_none_or(|since| shared.now().saturating_sub(since) < REACHED_WITHIN)
    });
    if reaches {
        let mut answer = message(shared, PeerMessageKind::Reaches);
        answer.service.clone_from(&vote.service);
        answer.instance.clone_from(&vote.instance);
        peers.send_to(shared, &vote.from, &answer);
    }
}

// A host that uses the primary still, or replaces it itself, gives no answer and is asked again.
fn answer_stop<P: Platform>(shared: &Shared<P>, peers: &Peers, question: &PeerMessage) {
    let service: ServiceId = question.service.as_str().into();
    let has_table = shared.lead.borrow().table.revision >= question.table_revision;
    if !has_table || peers.is_changing(&service) || !stop(shared, &service) {
        return;
    }
    let mut answer = message(shared, PeerMessageKind::Stopped);
    answer.service.clone_from(&question.service);
    answer.announcement = question.announcement;
    peers.send_to(shared, &question.from, &answer);
}

fn take_stopped(peers: &Peers, answer: &PeerMessage) {
    let key = (answer.service.as_str().into(), answer.announcement);
    let mut stopped = peers.stopped.borrow_mut();
    // Only the newest change of a service is waited for.
    stopped.retain(|(service, revision), _| *service != key.0 || *revision >= key.1);
    let hosts = stopped.entry(key).or_default();
    hosts.insert(answer.from.as_str().into());
}

/// Stops using the primary of `service` that is being replaced, unless what began before still
/// runs and may; whether it has stopped.
pub(crate) fn stop<P: Platform>(shared: &Shared<P>, service: &ServiceId) -> bool {
    let now = shared.now();
    shared.with_group(service, |group| {
        let may_go_on = group
            .leaving
            .as_ref()
            .is_some_and(|leaving| now < leaving.until);
        if may_go_on && group.primary_uses > 0 {
            return false;
        }
        group.leaving = None;
        true
    })
}

pub(super) fn message<P: Platform>(shared: &Shared<P>, kind: PeerMessageKind) -> PeerMessage {
    PeerMessage {
        from: shared.settings.host.to_string(),
        kind: kind.into(),
        table_revision: shared.lead.borrow().table.revision,
        ..PeerMessage::default()
    }
}

pub(super) fn with_table<P: Platform>(shared: &Shared<P>, mut message: PeerMessage) -> PeerMessage {
    message.table = Some(format_leads(&shared.lead.borrow().table).to_vec());
    message
}
