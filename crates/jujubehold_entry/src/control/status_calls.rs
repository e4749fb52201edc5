//! Calls to instances that serve no caller.

use crate::pool::Upstream;
use crate::prelude::*;
use crate::protocol::{ErrorCode, StatusReport, UpstreamCodec, UpstreamCommand};

/// How long an instance may take for such a call.
const CALL_TIMEOUT: Duration = Duration::from_millis(450);
/// How long the caller waits when all slots of the instance are taken.
const BUSY_PAUSE: Duration = Duration::from_millis(30);
/// How often it is asked again then.
const BUSY_RETRIES: u32 = 6;

/// Asks an instance for its status; `None` when it gives none.
pub(crate) async fn status<P: Platform>(upstream: &Rc<Upstream<P>>) -> Option<StatusReport> {
    call(upstream, &UpstreamCommand::Status).await
}

/// Makes a primary of a lower term a replica; `None` when it gives no answer.
pub(crate) async fn step_down<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    term: Term,
) -> Option<StatusReport> {
    call(upstream, &UpstreamCommand::StepDown { term }).await
}

/// Marks a replica with a term above its own; `None` when it gives no answer.
pub(crate) async fn mark<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    term: Term,
) -> Option<StatusReport> {
    call(upstream, &UpstreamCommand::Mark { term }).await
}

/// Takes the mark off a replica; `None` when it gives no answer.
pub(crate) async fn resume<P: Platform>(upstream: &Rc<Upstream<P>>) -> Option<StatusReport> {
    call(upstream, &UpstreamCommand::Resume).await
}

async fn call<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    command: &UpstreamCommand<'_>,
) -> Option<StatusReport> {
    for _ in 0..=BUSY_RETRIES {
        let asking = ask(upstream, command);
        match tokio::time::timeout(CALL_TIMEOUT, asking).await.ok()?? {
            Answer::Status(report) => return Some(report),
            Answer::Busy => actix_rt::time::sleep(BUSY_PAUSE).await,
        }
    }
    None
}

enum Answer {
    Status(StatusReport),
    Busy,
}

async fn ask<P: Platform>(
    upstream: &Rc<Upstream<P>>,
    command: &UpstreamCommand<'_>,
) -> Option<Answer> {
    let mut lease = upstream.acquire_for_control().await.ok()?;
    let reply = lease.ask(command).await.ok()?;
    lease.finish();
    if reply.error() == Some(ErrorCode::Busy) {
        return Some(Answer::Busy);
    }
    P::Upstreams::default().status(&reply).map(Answer::Status)
}
