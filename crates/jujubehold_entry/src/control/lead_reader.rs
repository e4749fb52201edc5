//! Keeps the proof that the table of leads is the newest: reads it, or asks a host that does.

use jujubehold_core::lead_table::LeadTable;
use log::{debug, info, warn};

use super::instances::take_members;
use super::lead_document::parse_leads;
use super::peers::Peers;
use super::proof_questions::{QuestionError, ask};
use super::store_calls::within;
use super::{LEAD_KEY, OWN_PREFIX};
use crate::lead_state::OwnRead;
use crate::prelude::*;
use crate::protocol::{Store, StoreError};
use crate::shared::millis;

/// How often the table is read: a third of the window, so that two reads may fail.
const READ_INTERVAL: Duration = Duration::from_millis(800);
/// How soon it is read again after a failure.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// How long one read may take: longer than a slow store's answer.
const READ_TIMEOUT: Duration = Duration::from_millis(500);

/// How often another host is asked, which has the primaries' positions as well.
const ASK_INTERVAL: Duration = Duration::from_millis(400);
/// How long after a read was asked for the next one of the same host is there, with some allowance
/// for a store in another region.
const NEXT_READ: Duration = Duration::from_millis(900);
/// The least pause between two questions.
const LEAST_PAUSE: Duration = Duration::from_millis(100);
/// A host whose own proof is younger goes on asking another one whose read it can't use.
const PATIENT_AGE: Duration = Duration::from_secs(1);

/// Renews the proof again and again.
pub(crate) async fn keep_proof<P: Platform>(shared: Rc<Shared<P>>, peers: Rc<Peers>) {
    loop {
        let pause = match ask_another(&shared, &peers).await {
            Some(pause) => pause,
            None => read_oneself(&shared).await,
        };
        // A host that has just joined needs its proof at once.
        let joined = shared.membership_changed.notified();
        let _ = tokio::time::timeout(pause, joined).await;
    }
}

/// Asks the host that reads for this one; returns the pause until the next time, or `None` when
/// this host has to read itself.
async fn ask_another<P: Platform>(shared: &Shared<P>, peers: &Peers) -> Option<Duration> {
    let source = shared.proof_source()?;
    let error = match ask(shared, peers, &source).await {
        Ok(age) => {
            let until_next = NEXT_READ.saturating_sub(age);
            return Some(until_next.clamp(LEAST_PAUSE, ASK_INTERVAL));
        }
        Err(error) => error,
    };
    let now = shared.now();
    match error {
        QuestionError::Silent | QuestionError::NoRead => {
            info!(source = source.as_str(), error:% = error, now_ms = millis(now);
                "another host proves nothing, the store is read instead");
            shared.lead.borrow_mut().sources.note_silent(now, &source);
            None
        }
        // What both know is the same again soon, by the watches of both.
        QuestionError::Unusable(fault) => {
            debug!("the read of {source} is not used: {}", fault.as_str());
            let read_at = shared.lead.borrow().proof.read_asked_at();
            let age = read_at.map(|read_at| now.saturating_sub(read_at));
            let is_patient = age.is_some_and(|age| age < PATIENT_AGE);
            is_patient.then_some(LEAST_PAUSE)
        }
    }
}

async fn read_oneself<P: Platform>(shared: &Shared<P>) -> Duration {
    let is_first = shared.lead.borrow().own_read.is_none();
    match read(shared).await {
        // Another host may have the primaries' positions already.
        Ok(()) if is_first => LEAST_PAUSE,
        Ok(()) => READ_INTERVAL,
        Err(error) => {
            debug!("the table of leads can't be read: {error}");
            RETRY_INTERVAL
        }
    }
}

async fn read<P: Platform>(shared: &Shared<P>) -> Result<(), StoreError> {
    let asked_at = shared.now();
    let call = shared.store.list(OWN_PREFIX);
    let listing = within(shared, "list_own", READ_TIMEOUT, call).await?;
    let mut table = Some(LeadTable::default());
    for item in &listing.items {
        if item.key == LEAD_KEY {
            table = parse_leads(&item.value, item.revision);
        }
    }
    let Some(table) = table else {
        warn!(revision = listing.revision; "the table of leads can't be read");
        return Err(StoreError::Unreadable);
    };
    let now = shared.now();
    shared
        .watch_news
        .borrow_mut()
        .note_store_revision(now, listing.revision);
    let is_listed = take_members(shared, &listing, asked_at);
    if is_listed && table.revision >= shared.lead.borrow().table.revision {
        shared.adopt_table(table);
        let mut lead = shared.lead.borrow_mut();
        lead.proof.note_read(asked_at);
        lead.own_read = Some(OwnRead {
            asked_at,
            revision: listing.revision,
        });
        drop(lead);
        shared.changed.notify_waiters();
    }
    Ok(())
}
