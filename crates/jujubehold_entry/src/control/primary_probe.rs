//! Keeps the primaries' positions fresh, and finds out when a primary gives no answer.
//!
//! Traffic tells both while there is some. Without it a command that takes no slot is sent.

use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::UpstreamCommand;
use crate::shared::Shared;

/// How often the primaries are looked at.
const LOOK_INTERVAL: Duration = Duration::from_millis(100);
/// A position that is older is asked for again while reads need positions.
const MARK_AGE: Duration = Duration::from_millis(400);
/// The same where another host keeps the positions fresh and is asked for them.
const SHARED_MARK_AGE: Duration = Duration::from_secs(1);
/// A primary that was not heard of for this time is asked whether it is there.
const QUIET_AGE: Duration = Duration::from_millis(900);
/// For how long after a read positions are kept fresh.
const WANTED_FOR: Duration = Duration::from_secs(3);
/// How long a host that has just joined leaves it to another one to find the positions out: many
/// hosts that start together would take the primaries' slots with it.
const SHARED_START: Duration = Duration::from_millis(200);
/// How long a primary may take for an answer to nothing.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);

/// Looks after the primaries until the future is dropped.
pub(crate) async fn keep_marks<P: Platform>(shared: Rc<Shared<P>>) {
    loop {
        let look = actix_rt::time::sleep(LOOK_INTERVAL);
        look.await;
        let services: Vec<ServiceId> = {
            let lead = shared.lead.borrow();
            lead.table.leads.keys().cloned().collect()
        };
        let has_source = shared.proof_source().is_some();
        if has_source && has_just_joined(&shared) {
            continue;
        }
        for service in services {
            look_at(&shared, &service, has_source);
        }
    }
}

fn has_just_joined<P: Platform>(shared: &Shared<P>) -> bool {
    let joined_at = {
        let lead = shared.lead.borrow();
        lead.membership.as_ref().map(|own| own.joined_at)
    };
    joined_at.is_some_and(|joined_at| shared.now().saturating_sub(joined_at) < SHARED_START)
}

fn look_at<P: Platform>(shared: &Rc<Shared<P>>, service: &ServiceId, has_source: bool) {
    let now = shared.now();
    let primary = {
        let lead = shared.lead.borrow();
        let id = lead.table.usable_primary(service).cloned();
        id.and_then(|id| shared.upstream(&id))
    };
    let Some(primary) = primary else {
        return;
    };
    let is_due = shared.with_group(service, |group| {
        let newest = group.marks.newest(group.marks.term()).unwrap_or_default();
        let age = now.saturating_sub(newest);
        let is_wanted = group
            .mark_wanted_at
            .is_some_and(|wanted_at| now.saturating_sub(wanted_at) < WANTED_FOR);
        let limit = match (has_source, is_wanted) {
            (true, _) => SHARED_MARK_AGE,
            (false, true) => MARK_AGE,
            (false, false) => QUIET_AGE,
        };
        let is_due = (age > limit || group.is_mark_needed) && !group.is_probing;
        if is_due {
            group.is_probing = true;
            group.is_mark_needed = false;
        }
        is_due
    });
    if is_due {
        actix_rt::spawn(probe(Rc::clone(shared), service.clone(), primary));
    }
}

async fn probe<P: Platform>(shared: Rc<Shared<P>>, service: ServiceId, primary: Rc<Upstream<P>>) {
    let sent_at = shared.now();
    let asking = ask(&primary);
    let result = tokio::time::timeout(PROBE_TIMEOUT, asking).await;
    let now = shared.now();
    match result {
        Ok(Some(position)) => {
            primary.health.borrow_mut().note_alive(now);
            shared.note_position(&service, &primary.id(), sent_at, position);
        }
        Ok(None) => {}
        Err(_) => primary.health.borrow_mut().note_silent(now, sent_at),
    }
    shared.with_group(&service, |group| group.is_probing = false);
    shared.changed.notify_waiters();
}

// `None` when there was no connection, which the pool has noted.
async fn ask<P: Platform>(primary: &Rc<Upstream<P>>) -> Option<Option<LogPosition>> {
    let mut lease = primary.acquire_for_control().await.ok()?;
    let reply = lease.ask(&UpstreamCommand::Reset).await.ok()?;
    lease.finish();
    Some(reply.position)
}
