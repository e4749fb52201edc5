//! A lease of another host, which this host runs on its own connections.

use std::cell::Cell;

use bytes::Bytes;
use log::info;
use metrics::counter;
use prost::Message;
use tokio::sync::mpsc;

use super::frame::{
    AcquireMessage, FailedReason, FrameBody, RefusedMessage, RefusedReason, ReplyMessage,
    RowsMessage, RunMessage, millis_u32,
};
use super::server::ServerLink;
use crate::callers::run_on;
use crate::metric_names::OWNER_REFUSALS;
use crate::phase::Phase;
use crate::pool::{
    AcquireError, ConnectionLease, SessionValues, Statement, Upstream, UpstreamError, WaitLimits,
};
use crate::prelude::*;
use crate::protocol::{MalformedMessage, UpstreamCommand, UpstreamReply};

/// Rows of more bytes than this are sent in several messages, so that each stays below the limit.
const MAX_ROWS_BYTES: usize = 256 * 1024;

/// What the host that holds a lease asks for after its first statement.
#[derive(Debug)]
pub(super) enum LeaseCommand {
    Run(Box<RunMessage>),
    /// Ends the lease and returns the connection to the pool.
    Finish,
}

/// What another host asks to be run.
#[derive(Debug)]
struct ReceivedRun {
    /// The statement; `None` for a rollback.
    statement: Option<Statement>,
    after: Option<LogPosition>,
    timeout: Duration,
}

impl ReceivedRun {
    // Also returns the session's values, if they have changed.
    fn decode(message: &RunMessage) -> Result<(Self, Option<SessionValues>), MalformedMessage> {
        let request = Self {
            statement: message.statement()?,
            after: message.after.map(LogPosition::from),
            timeout: Duration::from_millis(message.timeout_ms.into()),
        };
        Ok((request, message.session_values()?))
    }
}

/// Counts a lease as served until it is dropped.
#[derive(Debug)]
struct ServedLease<'a> {
    link: &'a ServerLink,
    number: u64,
    count: &'a Cell<usize>,
}

impl Drop for ServedLease<'_> {
    fn drop(&mut self) {
        self.count.set(self.count.get().saturating_sub(1));
        self.link.remove_lease(self.number);
    }
}

/// Serves one lease to its end. If the future is dropped, its connection is closed, which rolls back
/// an open transaction.
pub(super) async fn serve_lease<P: Platform>(
    shared: Rc<Shared<P>>,
    link: Rc<ServerLink>,
    number: u64,
    acquire: AcquireMessage,
    received_at: Monotonic,
    commands: mpsc::UnboundedReceiver<LeaseCommand>,
) {
    shared.served_leases.set(shared.served_leases.get() + 1);
    let _served = ServedLease {
        link: &link,
        number,
        count: &shared.served_leases,
    };
    let Ok((request, values)) = ReceivedRun::decode(&acquire.run) else {
        let reason = RefusedReason::Unreadable;
        refuse(&shared, &link, number, &acquire, reason, Duration::ZERO);
        return;
    };
    let values = values.unwrap_or_default();
    let acquired = tokio::select! {
        biased;
        () = shared.wait_for_last_answers() => Err((RefusedReason::Leaving, Duration::ZERO)),
        acquired = acquire_connection(&shared, &acquire, &values, received_at) => acquired,
    };
    let mut lease = match acquired {
        Ok(lease) => lease,
        Err((reason, expected_wait)) => {
            refuse(&shared, &link, number, &acquire, reason, expected_wait);
            return;
        }
    };
    let waited = shared.now().saturating_sub(received_at);
    if !run(
        &shared, &link, number, &mut lease, &request, &values, waited,
    )
    .await
    {
        return;
    }
    if acquire.is_single {
        lease.finish();
        return;
    }
    serve_commands(&shared, &link, number, lease, values, commands).await;
}

async fn serve_commands<P: Platform>(
    shared: &Rc<Shared<P>>,
    link: &ServerLink,
    number: u64,
    mut lease: ConnectionLease<P>,
    mut values: SessionValues,
    mut commands: mpsc::UnboundedReceiver<LeaseCommand>,
) {
    loop {
        let command = tokio::select! {
            biased;
            // The dropped connection rolls the transaction back.
            () = shared.wait_for_last_answers() => return,
            command = commands.recv() => command,
        };
        let Some(command) = command else {
            return;
        };
        match command {
            LeaseCommand::Run(message) => {
                let Ok((request, new_values)) = ReceivedRun::decode(&message) else {
                    send_refusal(link, number, RefusedReason::Unreadable, Duration::ZERO);
                    return;
                };
                if let Some(new_values) = new_values {
                    values = new_values;
                }
                let waited = Duration::ZERO;
                if !run(shared, link, number, &mut lease, &request, &values, waited).await {
                    return;
                }
            }
            LeaseCommand::Finish => {
                lease.finish();
                return;
            }
        }
    }
}

async fn acquire_connection<P: Platform>(
    shared: &Rc<Shared<P>>,
    acquire: &AcquireMessage,
    values: &SessionValues,
    received_at: Monotonic,
) -> Result<ConnectionLease<P>, (RefusedReason, Duration)> {
    let refuse = |reason| Err((reason, Duration::ZERO));
    if *shared.phase.borrow() != Phase::Serving {
        return refuse(RefusedReason::Leaving);
    }
    let Some(upstream) = owned_upstream(shared, &acquire.instance) else {
        return refuse(RefusedReason::NotOwner);
    };
    let limits = WaitLimits {
        priority: acquire.priority,
        give_up_at: received_at + Duration::from_millis(acquire.wait_ms.into()),
    };
    let customer = acquire.customer.as_deref().map(CustomerId::from);
    match upstream.acquire(customer.as_ref(), values, limits).await {
        Ok(lease) => Ok(lease),
        Err(AcquireError::NoneFree { expected_wait }) => {
            Err((RefusedReason::NoneFree, expected_wait))
        }
        Err(AcquireError::Upstream(UpstreamError::ConnectionLimit)) => {
            refuse(RefusedReason::ConnectionLimit)
        }
        Err(AcquireError::Upstream(_)) => refuse(RefusedReason::Unreachable),
    }
}

fn owned_upstream<P: Platform>(shared: &Shared<P>, instance: &str) -> Option<Rc<Upstream<P>>> {
    let upstream = shared.upstream(instance)?;
    let is_owner = upstream
        .owners()
        .is_some_and(|owners| owners.is_owner(&shared.settings.host));
    is_owner.then_some(upstream)
}

fn refuse<P: Platform>(
    shared: &Shared<P>,
    link: &ServerLink,
    number: u64,
    acquire: &AcquireMessage,
    reason: RefusedReason,
    expected_wait: Duration,
) {
    counter!(OWNER_REFUSALS, "reason" => reason.as_str()).increment(1);
    if shared.log.allows(shared.now()) {
        info!(request = acquire.run.id.as_str(), instance = acquire.instance.as_str(),
            reason = reason.as_str(); "refused another host's statement");
    }
    send_refusal(link, number, reason, expected_wait);
}

fn send_refusal(link: &ServerLink, number: u64, reason: RefusedReason, expected_wait: Duration) {
    let message = RefusedMessage {
        reason: reason.into(),
        expected_wait_ms: millis_u32(expected_wait),
    };
    link.send(number, FrameBody::Refused(message));
}

// Runs a statement and sends the reply. Returns `false` if the lease must end.
async fn run<P: Platform>(
    shared: &Rc<Shared<P>>,
    link: &ServerLink,
    number: u64,
    lease: &mut ConnectionLease<P>,
    request: &ReceivedRun,
    values: &SessionValues,
    waited: Duration,
) -> bool {
    let ReceivedRun {
        statement,
        after,
        timeout,
    } = request;
    let (after, timeout) = (*after, *timeout);
    let running = async {
        if let Some(statement) = statement {
            return run_on(shared, lease, statement, after, values, timeout).await;
        }
        let running = lease.run_command(&UpstreamCommand::Rollback);
        let result = tokio::time::timeout(timeout, running).await;
        result.unwrap_or(Err(UpstreamError::TimedOut))
    };
    let result = tokio::select! {
        biased;
        result = running => result,
        // Whether the statement runs is not known, as when the instance breaks off.
        () = shared.wait_for_last_answers() => {
            Err(UpstreamError::Broken(std::io::ErrorKind::ConnectionAborted.into()))
        }
    };
    match result {
        Ok(reply) => {
            send_reply(link, number, reply, waited);
            true
        }
        Err(UpstreamError::NotRun(refusal)) => {
            let reason = refused_reason(&refusal);
            counter!(OWNER_REFUSALS, "reason" => reason.as_str()).increment(1);
            send_refusal(link, number, reason, Duration::ZERO);
            false
        }
        Err(error) => {
            link.send(number, FrameBody::Failed(failed_reason(&error).into()));
            false
        }
    }
}

fn send_reply(link: &ServerLink, number: u64, mut reply: UpstreamReply, waited: Duration) {
    let mut rows: Vec<Bytes> = Vec::new();
    let mut length = 0;
    for row in std::mem::take(&mut reply.rows) {
        if length + row.len() > MAX_ROWS_BYTES && !rows.is_empty() {
            let rows = std::mem::take(&mut rows);
            link.send(number, FrameBody::Rows(RowsMessage { rows }));
            length = 0;
        }
        length += row.len();
        rows.push(row);
    }
    let mut message = ReplyMessage::new(&reply, waited);
    // The outcome is a line of the instance too, and may be as long as a row.
    if length + message.encoded_len() > MAX_ROWS_BYTES && !rows.is_empty() {
        link.send(number, FrameBody::Rows(RowsMessage { rows }));
    } else {
        message.rows = rows;
    }
    link.send(number, FrameBody::Reply(Box::new(message)));
}

// Why this host's own connection did not run a statement.
fn refused_reason(refusal: &Refusal) -> RefusedReason {
    if refusal.reason == RefusalReason::SessionSetupRefused {
        RefusedReason::SessionSetup
    } else {
        RefusedReason::Unreachable
    }
}

fn failed_reason(error: &UpstreamError) -> FailedReason {
    match error {
        UpstreamError::TimedOut => FailedReason::TimedOut,
        UpstreamError::Malformed => FailedReason::Malformed,
        UpstreamError::Unreachable(_)
        | UpstreamError::ConnectionLimit
        | UpstreamError::Refused(_)
        | UpstreamError::InvalidName(_)
        | UpstreamError::NotRun(_)
        | UpstreamError::OwnerLost
        | UpstreamError::Broken(_) => FailedReason::ConnectionLost,
    }
}
