//! Control calls to instances, outside callers' sessions.

use jujubehold_core::connection_purpose::ConnectionPurpose;

use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{StatusReport, UpstreamCodec, UpstreamCommand};

/// The timeout of one control call.
const CONTROL_CALL_TIMEOUT: Duration = Duration::from_millis(450);
/// The pause before a retry when all slots of the instance are taken.
const BUSY_RETRY_PAUSE: Duration = Duration::from_millis(30);
/// The maximum number of such retries.
const MAX_BUSY_RETRIES: u32 = 6;

/// Asks an instance for its status; `None` if it does not answer.
pub(crate) async fn query_status<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    purpose: ConnectionPurpose,
) -> Option<StatusReport> {
    call(upstream, &UpstreamCommand::Status, purpose).await
}

/// Makes a primary of a lower term a replica; `None` if it does not answer.
pub(crate) async fn step_down<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    term: Term,
) -> Option<StatusReport> {
    call(
        upstream,
        &UpstreamCommand::StepDown { term },
        ConnectionPurpose::Promotion,
    )
    .await
}

/// Marks a replica with a term above its own; `None` if it does not answer.
pub(crate) async fn mark<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    term: Term,
) -> Option<StatusReport> {
    call(
        upstream,
        &UpstreamCommand::Mark { term },
        ConnectionPurpose::Promotion,
    )
    .await
}

/// Removes a replica's mark; `None` if it does not answer.
pub(crate) async fn resume<P: Platform>(upstream: &Rc<Upstream<P>>) -> Option<StatusReport> {
    call(
        upstream,
        &UpstreamCommand::Resume,
        ConnectionPurpose::Promotion,
    )
    .await
}

async fn call<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    command: &UpstreamCommand<'_>,
    purpose: ConnectionPurpose,
) -> Option<StatusReport> {
    for _ in 0..=MAX_BUSY_RETRIES {
        let request = send_command(upstream, command, purpose);
        match tokio::time::timeout(CONTROL_CALL_TIMEOUT, request)
            .await
            .ok()??
        {
            Answer::Status(report) => return Some(report),
            Answer::Busy => actix_rt::time::sleep(BUSY_RETRY_PAUSE).await,
        }
    }
    None
}

enum Answer {
    Status(StatusReport),
    Busy,
}

async fn send_command<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    command: &UpstreamCommand<'_>,
    purpose: ConnectionPurpose,
) -> Option<Answer> {
    let mut lease = upstream.acquire_for_control(purpose).await.ok()?;
    let reply = lease.run_command(command).await.ok()?;
    lease.finish();
    if reply.is_busy() {
        return Some(Answer::Busy);
    }
    P::Upstreams::default().status(&reply).map(Answer::Status)
}
