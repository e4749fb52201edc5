//! Hands changes of the directory on to other hosts, and fetches them.

use bytes::Bytes;
use jujubehold_core::directory_log::DirectoryChange;
use jujubehold_core::directory_progress::DirectoryNeed;
use jujubehold_core::proof_sharing::happened_at;
use log::debug;
use metrics::counter;

use super::super::instances::{ChangeOrigin, apply_item, apply_removal, is_directory_key};
use super::super::peer_message::{
    DirectoryChangeMessage, DirectoryChangesMessage, PeerMessage, PeerMessageKind,
};
use super::super::peers::{Peers, new_message};
use crate::metric_names::DIRECTORY_CHANGES_FETCHED;
use crate::prelude::*;
use crate::protocol::StoreItem;
use crate::shared::micros;

/// The timeout of an answer within a failure domain, as of a proof.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(150);
/// The longest changes that are handed on, in bytes. Longer ones take many packets, one of which may
/// be lost, and the store sends them as well.
const MAX_CHANGES_BYTES: usize = 40_000;

/// Asks `source` for the changes that this host lacks, and applies them. Returns whether this host
/// knows more than before, or needs nothing now.
pub(super) async fn fetch_changes<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    source: &HostId,
) -> bool {
    let (era, after) = {
        let progress = shared.directory_progress.borrow();
        (progress.era(), progress.reached())
    };
    let (number, receiver) = peers.directory_questions.begin();
    let mut question = new_message(shared, PeerMessageKind::DirectoryQuestion);
    question.question = number;
    question.directory_changes = Some(DirectoryChangesMessage {
        after,
        ..DirectoryChangesMessage::default()
    });
    let sent_at = shared.now();
    peers.send_to(shared, source, &question);
    let answer = tokio::time::timeout(ANSWER_TIMEOUT, receiver).await;
    let answer = answer.ok().and_then(Result::ok);
    let changes = answer.and_then(|answer| answer.directory_changes);
    let is_usable = |changes: &DirectoryChangesMessage| {
        let mut keys = changes.changes.iter();
        changes.era == era
            && changes.after == after
            && changes.reached >= after
            && keys.all(|change| is_directory_key::<P>(&change.key))
    };
    let Some(changes) = changes.filter(is_usable) else {
        debug!("{source} did not hand on the changes after {after}");
        counter!(DIRECTORY_CHANGES_FETCHED, "outcome" => "failed").increment(1);
        return false;
    };
    counter!(DIRECTORY_CHANGES_FETCHED, "outcome" => "answered").increment(1);
    for change in changes.changes {
        apply_change(shared, change, source);
    }
    let confirmed_age = changes.confirmed_age_us.map(Duration::from_micros);
    let confirmed_at = confirmed_age.map(|age| happened_at(sent_at, age));
    let mut progress = shared.directory_progress.borrow_mut();
    progress.note_handed_on(changes.reached, confirmed_at);
    changes.reached > after || progress.need(shared.now()) == DirectoryNeed::Nothing
}

fn apply_change<P: Platform>(shared: &Shared<P>, change: DirectoryChangeMessage, source: &HostId) {
    let Some(value) = change.value else {
        apply_removal(shared, &change.key, change.revision);
        return;
    };
    let item = StoreItem {
        key: change.key.into(),
        value: value.into(),
        revision: change.revision,
    };
    apply_item(shared, &item, ChangeOrigin::Host(source));
}

/// Answers a host that asks for changes. If they are not all known, or too long, the answer contains
/// none, so that the other host asks the store at once. The same applies if this host has to list the
/// directory again.
pub(in super::super) fn answer_directory_question<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    question: &PeerMessage,
) {
    let Some(asked) = &question.directory_changes else {
        return;
    };
    let news = shared.directory_progress.borrow().news();
    let changes = shared.directory_log.borrow().changes_after(asked.after);
    let changes = changes
        .filter(|changes| total_bytes(changes) <= MAX_CHANGES_BYTES && !shared.is_store_restored());
    let mut answer = new_message(shared, PeerMessageKind::DirectoryChanges);
    answer.question = question.question;
    answer.directory_changes = Some(DirectoryChangesMessage {
        after: asked.after,
        reached: changes.as_ref().map_or(0, |_| news.reached),
        era: news.era,
        confirmed_age_us: Some(micros(shared.directory_age())),
        changes: changes.into_iter().flatten().map(change_message).collect(),
    });
    peers.send_to(shared, &question.from, &answer);
}

fn total_bytes(changes: &[DirectoryChange<Bytes>]) -> usize {
    let value_bytes = |change: &DirectoryChange<Bytes>| change.value.as_ref().map_or(0, Bytes::len);
    let changes = changes.iter();
    changes
        .map(|change| change.key.len() + value_bytes(change))
        .sum()
}

fn change_message(change: DirectoryChange<Bytes>) -> DirectoryChangeMessage {
    DirectoryChangeMessage {
        key: change.key.into(),
        revision: change.revision,
        value: change.value.map(Into::into),
    }
}
