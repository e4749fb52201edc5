//! One attempt to run a statement on one instance.

use log::info;
use smol_str::{SmolStr, format_smolstr};

use crate::pool::{ConnectionLease, SessionValues, Statement, Upstream, UpstreamError};
use crate::prelude::*;
use crate::protocol::{ErrorCode, UpstreamReply};
use crate::shared::millis;

/// Runs a statement on a leased connection and records what the result shows about the instance.
///
/// After an error, the connection must not be used again.
pub(crate) async fn run_on<P: Platform>(
    shared: &Rc<Shared<P>>,
    lease: &mut ConnectionLease<P>,
    statement: &Statement,
    after: Option<LogPosition>,
    values: &SessionValues,
    timeout: Duration,
) -> Result<UpstreamReply, UpstreamError> {
    let upstream = Rc::clone(lease.upstream());
    let is_direct = lease.is_direct();
    let _in_flight = is_direct.then(|| upstream.begin_request());
    let _at_owner = (!is_direct).then(|| upstream.begin_request_at_owner());
    let sent_at = shared.now();
    let running = lease.run(statement, after, values, timeout);
    let result = match tokio::time::timeout(timeout, running).await {
        Ok(result) => result,
        Err(_) => Err(UpstreamError::TimedOut),
    };
    let waited = lease.take_owner_wait();
    note_health(shared, &upstream, sent_at, waited, &result);
    if let Some(waited) = waited {
        shared.with_group(&upstream.entry().service, |group| {
            let seconds = waited.as_secs_f64();
            group.metrics.connection_wait_seconds.record(seconds);
        });
    }
    // An owner notes for itself that the instance is busy.
    if lease.is_direct() && result.as_ref().is_ok_and(UpstreamReply::is_busy) {
        upstream.note_busy();
    }
    log_preparation(shared, lease, statement);
    log_attempt(shared, &upstream, statement, after, sent_at, &result);
    if let Ok(reply) = &result {
        let entry = upstream.entry();
        shared.note_position(&entry.service, &entry.id, sent_at, reply.position);
        note_lag(shared, &upstream, sent_at, after, reply);
    }
    result
}

// The time that a statement waited at an owner is no time of the instance, and a lost owner or an
// expired wait says nothing about it.
fn note_health<P: Platform>(
    shared: &Rc<Shared<P>>,
    upstream: &Upstream<P>,
    sent_at: Monotonic,
    waited: Option<Duration>,
    result: &Result<UpstreamReply, UpstreamError>,
) {
    let now = shared.now();
    let mut health = upstream.health.borrow_mut();
    match result {
        Ok(reply) if reply.error().is_some() => health.note_alive(now),
        Ok(_) => {
            let taken = now.saturating_sub(sent_at);
            health.note_answer(now, taken.saturating_sub(waited.unwrap_or_default()));
        }
        Err(UpstreamError::OwnerLost) => {}
        Err(UpstreamError::NotRun(refusal))
            if refusal.reason != RefusalReason::UpstreamUnreachable => {}
        Err(_) => health.note_silent(now, sent_at),
    }
}

// Logs the name under which a connection has a statement from now on, which relates what an instance
// ran to the request that had it prepared.
fn log_preparation<P: Platform>(
    shared: &Shared<P>,
    lease: &mut ConnectionLease<P>,
    statement: &Statement,
) {
    let Some(name) = lease.take_newly_prepared() else {
        return;
    };
    if shared.log.allows(shared.now()) {
        info!(request = statement.id(), instance = lease.upstream().id().as_str(),
            name = name.as_str(); "prepared a statement on a connection");
    }
}

// Logs an error that an instance returned, or that it did not answer, so that the cause of a failed
// request can be found.
fn log_attempt<P: Platform>(
    shared: &Rc<Shared<P>>,
    upstream: &Upstream<P>,
    statement: &Statement,
    after: Option<LogPosition>,
    sent_at: Monotonic,
    result: &Result<UpstreamReply, UpstreamError>,
) {
    let now = shared.now();
    let outcome = match result {
        Ok(reply) => match reply.error() {
            Some(code) => SmolStr::new_static(code.as_str()),
            None => return,
        },
        Err(error) => format_smolstr!("{error}"),
    };
    if !shared.log.allows(now) {
        return;
    }
    let position = result.as_ref().ok().and_then(|reply| reply.position);
    info!(request = statement.id(), instance = upstream.id().as_str(),
        outcome = outcome.as_str(), floor = position_text(after).as_str(),
        position = position_text(position).as_str(),
        taken_ms = millis(now.saturating_sub(sent_at)),
        expected_ms = millis(upstream.health.borrow().expected_time(now));
        "an instance did not serve a statement");
}

fn position_text(position: Option<LogPosition>) -> SmolStr {
    position.map_or_else(
        || SmolStr::new_static("none"),
        |position| format_smolstr!("{position}"),
    )
}

// Updates the estimated lag of the instance from its reply.
fn note_lag<P: Platform>(
    shared: &Rc<Shared<P>>,
    upstream: &Upstream<P>,
    sent_at: Monotonic,
    after: Option<LogPosition>,
    reply: &UpstreamReply,
) {
    let now = shared.now();
    let service = upstream.entry().service;
    let mut lag = upstream.lag.borrow_mut();
    if let Some(position) = reply.position {
        shared.with_group(&service, |group| {
            lag.note(now, sent_at, position, &group.primary_positions);
        });
    }
    if let (Some(ErrorCode::Behind), Some(floor)) = (reply.error(), after) {
        lag.note_lacked(floor);
    }
}
