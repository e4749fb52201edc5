//! Asks another host of the failure domain for its newest read of the store.

use std::cell::{Cell, RefCell};

use jujubehold_core::proof_sharing::{SharedRead, SharedReadCheck, SharedReadFault, happened_at};
use log::warn;
use tokio::sync::oneshot;

use super::instances::lose_membership;
use super::member_document::parse_member;
use super::peer_message::{HostMessage, HostsMessage, MarkMessage, PeerMessage, PeerMessageKind};
use super::peers::{Peers, message};
use crate::prelude::*;

/// How long an answer within a failure domain may take: a busy host's turn, and much more than the
/// way.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);

/// The question that is under way; one at a time.
#[derive(Debug, Default)]
pub(crate) struct ProofQuestions {
    last: Cell<u64>,
    waiting: RefCell<Option<(u64, oneshot::Sender<PeerMessage>)>>,
}

/// Why a question brought no proof.
#[derive(Debug, thiserror::Error)]
pub(super) enum QuestionError {
    #[error("no answer came in time")]
    Silent,
    #[error("the host has no read that is young enough")]
    NoRead,
    #[error("the read proves nothing here: {}", .0.as_str())]
    Unusable(SharedReadFault),
}

impl ProofQuestions {
    /// Hands an answer to whoever waits for it; late ones are dropped.
    pub(super) fn take_answer(&self, answer: &PeerMessage) {
        let mut waiting = self.waiting.borrow_mut();
        if let Some((_, sender)) = waiting.take_if(|(number, _)| *number == answer.question) {
            // Whoever asked may have stopped waiting just now.
            let _ = sender.send(answer.clone());
        }
    }

    fn begin(&self) -> (u64, oneshot::Receiver<PeerMessage>) {
        let number = self.last.get() + 1;
        self.last.set(number);
        let (sender, receiver) = oneshot::channel();
        *self.waiting.borrow_mut() = Some((number, sender));
        (number, receiver)
    }
}

/// Asks `source` and takes in what it says; returns how old its read was.
pub(super) async fn ask<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    source: &HostId,
) -> Result<Duration, QuestionError> {
    let (number, receiver) = peers.questions.begin();
    let mut question = message(shared, PeerMessageKind::ProofQuestion);
    question.question = number;
    question.hosts_digest = shared.lead.borrow().members_digest;
    let asked_at = shared.now();
    peers.send_to(shared, source, &question);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
    let answer = answer
        .ok()
        .and_then(Result::ok)
        .ok_or(QuestionError::Silent)?;
    take_in(shared, asked_at, &answer)
}

fn take_in<P: Platform>(
    shared: &Shared<P>,
    asked_at: Monotonic,
    answer: &PeerMessage,
) -> Result<Duration, QuestionError> {
    let told = answer.read.as_ref().ok_or(QuestionError::NoRead)?;
    let read = SharedRead {
        age: Duration::from_micros(told.age_us),
        revision: told.revision,
        table_revision: answer.table_revision,
        hosts_digest: answer.hosts_digest,
    };
    if let Some(hosts) = &answer.hosts {
        take_hosts(shared, asked_at, hosts);
    }
    let now = shared.now();
    shared
        .watch_news
        .borrow_mut()
        .note_store_revision(now, read.revision);
    {
        let mut lead = shared.lead.borrow_mut();
        let membership = lead.membership.as_ref();
        let check = SharedReadCheck {
            asked_at,
            own_key_revision: membership.map_or(u64::MAX, |own| own.key_revision),
            listed_revision: lead.listed_revision(&shared.settings.host),
            table_revision: lead.table.revision,
            hosts_digest: lead.members_digest,
        };
        let result = read.asked_at(&check);
        if result == Err(SharedReadFault::NotListed) && lead.is_list_newer_than_own_entry() {
            lose_membership(shared, &mut lead);
        }
        let read_at = result.map_err(QuestionError::Unusable)?;
        lead.proof.note_read(read_at);
        lead.note_all_seen(read_at);
    }
    for mark in &answer.marks {
        take_mark(shared, asked_at, mark);
    }
    shared.changed.notify_waiters();
    Ok(read.age)
}

// The hosts that another host knows as of a later revision; this one goes on following the watch
// from there.
fn take_hosts<P: Platform>(shared: &Shared<P>, asked_at: Monotonic, told: &HostsMessage) {
    let parse = |host: &HostMessage| {
        let member = parse_member(&host.entry, host.revision)?;
        Some((HostId::from(host.host.as_str()), member))
    };
    // A list with an entry that can't be read is not the whole list.
    let Some(hosts) = told.hosts.iter().map(parse).collect() else {
        warn!(revision = told.revision; "another host's list of hosts can't be read");
        return;
    };
    let mut lead = shared.lead.borrow_mut();
    if told.revision > lead.members_revision {
        lead.set_members(hosts, told.revision, asked_at);
    }
}

fn take_mark<P: Platform>(shared: &Shared<P>, asked_at: Monotonic, mark: &MarkMessage) {
    let sent_at = happened_at(asked_at, Duration::from_micros(mark.age_us));
    let is_led = {
        let lead = shared.lead.borrow();
        lead.table.usable_primary(&mark.service).is_some()
    };
    if is_led {
        let service = ServiceId::from(mark.service.as_str());
        shared.with_group(&service, |group| {
            group.marks.add(mark.term, sent_at, mark.position);
        });
    }
}
