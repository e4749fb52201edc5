//! Talks with the other hosts by datagrams.
//!
//! They carry what must be known sooner than the store tells it, or while it tells nothing. Each
//! may be lost, doubled or late: all are repeated by who needs them, and none undoes another.

use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use jujubehold_core::lead_proof::LeadProofSettings;
use jujubehold_core::lead_table::Revision;
use log::{debug, warn};
use prost::Message;
use tokio::net::UdpSocket;

use super::lead_document::{format_leads, parse_leads};
use super::peer_message::{PeerMessage, PeerMessageKind};
use crate::prelude::*;

/// The longest datagram.
const MAX_DATAGRAM_BYTES: usize = 8 * 1024;
/// Questions whose time is remembered.
const MAX_QUESTIONS: usize = 32;
/// How long the receiver rests after an error of the socket.
const RECEIVE_PAUSE: Duration = Duration::from_millis(50);

/// What the other hosts answered to being asked to stop.
#[derive(Debug, Clone, Default)]
pub(crate) struct StopAnswers {
    /// The hosts that stopped.
    pub(crate) hosts: BTreeSet<HostId>,
    /// The hosts that these gave a promise lately.
    pub(crate) promised: BTreeSet<HostId>,
}

/// The socket to the other hosts, and what they answered.
#[derive(Debug)]
pub(crate) struct Peers {
    socket: UdpSocket,
    address: SocketAddr,
    next_sequence: Cell<u64>,
    asked_at: RefCell<BTreeMap<u64, Monotonic>>,
    /// The hosts that stopped using a primary, by the change that asked them to.
    stopped: RefCell<BTreeMap<(ServiceId, Revision), StopAnswers>>,
    /// The services whose primary this host is replacing.
    changing: RefCell<BTreeSet<ServiceId>>,
    /// When this host last gave each other one its promise.
    promised_at: RefCell<BTreeMap<HostId, Monotonic>>,
}

impl Peers {
    /// Opens the socket.
    pub(crate) async fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = UdpSocket::bind(address).await?;
        let address = socket.local_addr()?;
        Ok(Self {
            socket,
            address,
            next_sequence: Cell::new(1),
            asked_at: RefCell::new(BTreeMap::new()),
            stopped: RefCell::new(BTreeMap::new()),
            changing: RefCell::new(BTreeSet::new()),
            promised_at: RefCell::new(BTreeMap::new()),
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

    /// The hosts that this one gave its promise at any time since `since`.
    pub(crate) fn promised_since(&self, since: Monotonic) -> BTreeSet<HostId> {
        let mut promised_at = self.promised_at.borrow_mut();
        promised_at.retain(|_, at| *at >= since);
        promised_at.keys().cloned().collect()
    }

    /// Asks every other host for its promise.
    pub(crate) fn ask_promises<P: Platform>(&self, shared: &Shared<P>) {
        let sequence = self.next_sequence.get();
        self.next_sequence.set(sequence + 1);
        let mut asked_at = self.asked_at.borrow_mut();
        asked_at.insert(sequence, shared.now());
        while asked_at.len() > MAX_QUESTIONS {
            asked_at.pop_first();
        }
        drop(asked_at);
        let mut message = message(shared, PeerMessageKind::AskPromise);
        message.sequence = sequence;
        self.send_to_all(shared, &message);
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

    /// Asks `hosts` to stop using the primary of `service`, which the table says is replaced.
    pub(crate) fn ask_stop<P: Platform>(
        &self,
        shared: &Shared<P>,
        service: &str,
        hosts: &BTreeSet<HostId>,
    ) {
        let mut message = with_table(shared, message(shared, PeerMessageKind::Stop));
        service.clone_into(&mut message.service);
        for host in hosts {
            self.send_to(shared, host, &message);
        }
    }

    /// What was answered for the change at `revision`.
    pub(crate) fn stopped(&self, service: &ServiceId, revision: Revision) -> StopAnswers {
        let stopped = self.stopped.borrow();
        stopped
            .get(&(service.clone(), revision))
            .cloned()
            .unwrap_or_default()
    }

    fn send_to_all<P: Platform>(&self, shared: &Shared<P>, message: &PeerMessage) {
        let others = shared.lead.borrow().others(&shared.settings.host);
        for host in &others {
            self.send_to(shared, host, message);
        }
    }

    fn send_to<P: Platform>(&self, shared: &Shared<P>, host: &str, message: &PeerMessage) {
        let address = {
            let lead = shared.lead.borrow();
            lead.members.get(host).map(|member| member.peer_address)
        };
        let Some(address) = address else {
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
        PeerMessageKind::AskPromise => answer_promise(shared, peers, message),
        PeerMessageKind::Promise => take_promise(shared, peers, message),
        PeerMessageKind::Vote => take_vote(shared, message),
        PeerMessageKind::Stop => answer_stop(shared, peers, message),
        PeerMessageKind::Stopped => take_stopped(peers, message),
    }
}

fn answer_promise<P: Platform>(shared: &Shared<P>, peers: &Peers, question: &PeerMessage) {
    let mut answer = message(shared, PeerMessageKind::Promise);
    answer.sequence = question.sequence;
    answer.is_changing = !peers.changing.borrow().is_empty();
    if !answer.is_changing {
        let host = question.from.as_str().into();
        peers.promised_at.borrow_mut().insert(host, shared.now());
    }
    if question.table_revision < answer.table_revision {
        answer = with_table(shared, answer);
    }
    peers.send_to(shared, &question.from, &answer);
}

fn take_promise<P: Platform>(shared: &Shared<P>, peers: &Peers, answer: &PeerMessage) {
    let asked_at = peers.asked_at.borrow().get(&answer.sequence).copied();
    let Some(asked_at) = asked_at else {
        return;
    };
    let host = answer.from.as_str().into();
    let mut lead = shared.lead.borrow_mut();
    if answer.is_changing {
        lead.proof.forget_promise(&answer.from);
    } else {
        lead.proof.note_promise(&host, asked_at);
    }
    drop(lead);
    shared.changed.notify_waiters();
}

fn take_vote<P: Platform>(shared: &Shared<P>, vote: &PeerMessage) {
    let now = shared.now();
    shared.with_group(&vote.service.as_str().into(), |group| {
        let host = vote.from.as_str().into();
        group.votes.note(now, &host, &vote.instance.as_str().into());
    });
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
    answer.sequence = question.table_revision;
    let since = shared
        .now()
        .saturating_sub(LeadProofSettings::default().lapse());
    let promised = peers.promised_since(since);
    answer.promised = promised.iter().map(ToString::to_string).collect();
    peers.send_to(shared, &question.from, &answer);
}

fn take_stopped(peers: &Peers, answer: &PeerMessage) {
    let key = (answer.service.as_str().into(), answer.sequence);
    let mut stopped = peers.stopped.borrow_mut();
    // Only the newest change of a service is waited for.
    stopped.retain(|(service, revision), _| *service != key.0 || *revision >= key.1);
    let answers = stopped.entry(key).or_default();
    answers.hosts.insert(answer.from.as_str().into());
    let promised = answer.promised.iter().map(|host| host.as_str().into());
    answers.promised.extend(promised);
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

fn message<P: Platform>(shared: &Shared<P>, kind: PeerMessageKind) -> PeerMessage {
    PeerMessage {
        from: shared.settings.host.to_string(),
        kind: kind.into(),
        table_revision: shared.lead.borrow().table.revision,
        ..PeerMessage::default()
    }
}

fn with_table<P: Platform>(shared: &Shared<P>, mut message: PeerMessage) -> PeerMessage {
    message.table = Some(format_leads(&shared.lead.borrow().table).to_vec());
    message
}
