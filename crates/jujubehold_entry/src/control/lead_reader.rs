//! Keeps the proof that the table of leads is current: reads the table from the store, or asks a
//! host that does.

use jujubehold_core::call_gate::CallKind;
use jujubehold_core::directory_progress::StoreRead;
use jujubehold_core::host_history::HostHistoryQuestions;
use jujubehold_core::lead_table::LeadTable;
use jujubehold_core::store_version::StoreVersion;
use log::{debug, info, warn};

use super::host_names::apply_names;
use super::instances::apply_member_listing;
use super::lead_document::{parse_era, parse_leads};
use super::peers::Peers;
use super::proof_questions::{QuestionError, ask, ask_for_departed_hosts};
use super::store_calls::{StoreCall, transfer_with_timeout, wait_for_turn};
use super::{ENTRY_KEYS_PREFIX, LEAD_ERA_KEY, LEAD_KEY};
use crate::lead_state::OwnRead;
use crate::prelude::*;
use crate::protocol::{CallProgress, Store, StoreError, StoreListing};
use crate::shared::millis;

/// How often the table is read: a third of the proof window, so that two reads may fail.
const READ_INTERVAL: Duration = Duration::from_millis(800);
/// The delay before the next read after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The timeout of one read: longer than a slow store takes to answer.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// How often another host is asked; its answer also carries the primaries' positions.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// How long after the start of a host's read its next one is available, with some allowance for a
/// store in another region.
const NEXT_READ_DELAY: Duration = Duration::from_millis(900);
/// The minimum pause between two requests.
const MIN_PAUSE: Duration = Duration::from_millis(100);
/// If this host's proof is younger than this, it asks the other host again after an unusable answer
/// instead of reading the store.
const MAX_RETRY_PROOF_AGE: Duration = Duration::from_secs(1);

/// Renews the proof until the future is dropped.
pub(crate) async fn maintain_proof<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
    let mut history_questions = HostHistoryQuestions::default();
    loop {
        // Without an entry in the list of hosts no read proves anything to this host.
        if shared.lead_state.borrow().membership.is_none() {
            let joined = shared.membership_changed.notified();
            let _ = tokio::time::timeout(RETRY_INTERVAL, joined).await;
            continue;
        }
        let pause = match ask_source(&shared, &peers).await {
            Some(pause) => pause,
            None => read_store(&shared).await,
        };
        complete_host_list(&shared, &peers, &mut history_questions).await;
        // A host that has just joined needs a proof at once.
        let joined = shared.membership_changed.notified();
        let _ = tokio::time::timeout(pause, joined).await;
    }
}

/// Asks the host that reads the store for this one. Returns the pause before the next request, or
/// `None` if this host has to read the store itself.
async fn ask_source<P: Platform>(shared: &Shared<P>, peers: &Peers) -> Option<Duration> {
    let source = shared.proof_source()?;
    let result = ask(shared, peers, &source).await;
    let now = shared.now();
    note_result(shared, now, &source, &result);
    let error = match result {
        Ok(age) => {
            let until_next = NEXT_READ_DELAY.saturating_sub(age);
            return Some(until_next.clamp(MIN_PAUSE, ASK_INTERVAL));
        }
        Err(error) => error,
    };
    match error {
        QuestionError::NoAnswer | QuestionError::NoRead => {
            info!(source = source.as_str(), error:% = error, now_ms = millis(now);
                "no proof from the other host; reading the store instead");
            None
        }
        // The watches of both hosts soon bring them to the same state.
        QuestionError::Unusable(fault) => {
            debug!("ignoring the read of {source}: {}", fault.as_str());
            let read_at = shared.lead_state.borrow().proof.read_sent_at();
            let age = read_at.map(|read_at| now.saturating_sub(read_at));
            let may_retry = age.is_some_and(|age| age < MAX_RETRY_PROOF_AGE);
            may_retry.then_some(MIN_PAUSE)
        }
    }
}

fn note_result<P: Platform>(
    shared: &Shared<P>,
    now: Monotonic,
    source: &HostId,
    result: &Result<Duration, QuestionError>,
) {
    let sources = &mut shared.lead_state.borrow_mut().proof_sources;
    match result {
        Ok(_) | Err(QuestionError::Unusable(_)) => sources.note_answered(),
        Err(QuestionError::NoRead) => sources.note_without_read(now, source),
        Err(QuestionError::NoAnswer) => sources.note_unanswered(now, source),
    }
}

/// Asks another host which hosts were listed before this one followed the list, if this host may have
/// to replace a primary and does not know.
async fn complete_host_list<P: Platform>(
    shared: &Shared<P>,
    peers: &Peers,
    questions: &mut HostHistoryQuestions,
) {
    let now = shared.now();
    let needs_list = shared.lead_state.borrow().proof.needs_complete_list(now);
    if !needs_list || !shared.is_watcher() {
        return;
    }
    let host = {
        let lead_state = shared.lead_state.borrow();
        let members = lead_state.members.iter();
        let listed = members.map(|(host, member)| (host, member.key_revision));
        questions.next_host(now, &shared.settings.host, listed)
    };
    let Some(host) = host else {
        return;
    };
    if let Err(error) = ask_for_departed_hosts(shared, peers, &host).await {
        debug!("{host} did not say which hosts were listed: {error}");
    }
}

async fn read_store<P: Platform>(shared: &Shared<P>) -> Duration {
    let is_first = shared.lead_state.borrow().own_read.is_none();
    wait_for_turn(shared, CallKind::Read).await;
    match read_leads(shared).await {
        // Another host may already have the primaries' positions.
        Ok(()) if is_first => MIN_PAUSE,
        Ok(()) => READ_INTERVAL,
        Err(error) => {
            debug!("failed to read the table of leads: {error}");
            RETRY_INTERVAL
        }
    }
}

async fn read_leads<P: Platform>(shared: &Shared<P>) -> Result<(), StoreError> {
    let sent_at = shared.now();
    let progress = CallProgress::default();
    let call = shared.store.list(ENTRY_KEYS_PREFIX, &progress);
    let listing =
        transfer_with_timeout(shared, StoreCall::ListOwn, READ_TIMEOUT, &progress, call).await?;
    if listing.era < shared.lead_state.borrow().era {
        return Err(StoreError::Restored);
    }
    let Some(mut table) = listed_table(&listing) else {
        warn!(revision = listing.revision; "the table of leads is invalid");
        return Err(StoreError::Unreadable);
    };
    shared.note_store_read(&StoreRead {
        read_at: sent_at,
        era: listing.era,
        revision: listing.revision,
    });
    apply_names(shared, &listing, sent_at);
    let is_listed = apply_member_listing(shared, &listing, sent_at);
    if !shared.lead_state.borrow().is_present_table(&table) {
        shared.lead_state.borrow_mut().restored_table = Some(table);
        return Err(StoreError::Restored);
    }
    table.era = listing.era;
    if is_listed && table.version() >= shared.lead_state.borrow().table.version() {
        shared.adopt_table(table);
        let mut lead_state = shared.lead_state.borrow_mut();
        lead_state.proof.note_read(sent_at);
        lead_state.own_read = Some(OwnRead {
            sent_at,
            revision: listing.revision,
        });
        drop(lead_state);
        shared.changed.notify_waiters();
    }
    Ok(())
}

// Returns the table of a listing with the era in which it was written, which is earlier than that of
// the listing if the store was restored from a copy since; `None` if the table is invalid.
fn listed_table(listing: &StoreListing) -> Option<LeadTable> {
    let item = |key: &str| listing.items.iter().find(|item| item.key == key);
    let Some(table) = item(LEAD_KEY) else {
        return Some(LeadTable::default());
    };
    // Both keys were written at once. If the table is the older one, the listing's pages are from
    // before and after that.
    let era = item(LEAD_ERA_KEY).filter(|era| era.revision <= table.revision);
    let version = StoreVersion {
        era: era.map_or(0, |era| parse_era(&era.value)),
        revision: table.revision,
    };
    parse_leads(&table.value, version)
}
