//! A lease of a connection that another host owns.

use std::net::SocketAddr;

use jujubehold_core::wait_policy::WaitPolicy;

use super::connection::UpstreamError;
use super::statement::{SessionValues, Statement};
use super::upstream::WaitLimits;
use crate::peer_link::{
    AcquireMessage, FailedReason, FrameBody, LinkAnswer, PeerLink, PeerLinks, RefusedMessage,
    RefusedReason, RunKind, RunMessage, millis_u32,
};
use crate::prelude::*;
use crate::protocol::{SessionState, UpstreamReply};

/// The timeout that the owner applies to a rollback.
const ROLLBACK_TIMEOUT: Duration = Duration::from_millis(800);

/// A request for a connection of an owner, which is sent with the first statement.
#[derive(Debug)]
pub(crate) struct OwnerRequest {
    pub(crate) links: Rc<PeerLinks>,
    /// The owners in the order in which they are tried.
    pub(crate) owners: Vec<(HostId, SocketAddr)>,
    pub(crate) customer: Option<CustomerId>,
    pub(crate) limits: WaitLimits,
    pub(crate) purpose: LeasePurpose,
}

jujubehold_core::key_type! {
    /// What a lease is used for.
    pub(crate) enum LeasePurpose {
        /// One read, which may run twice.
        Read,
        /// One write.
        Write,
        /// A transaction. Its first statement opens it and may run twice.
        Transaction,
    }
}

impl LeasePurpose {
    fn is_single(self) -> bool {
        match self {
            Self::Read | Self::Write => true,
            Self::Transaction => false,
        }
    }

    fn is_first_repeatable(self) -> bool {
        match self {
            Self::Read | Self::Transaction => true,
            Self::Write => false,
        }
    }
}

/// A lease at an owner.
#[derive(Debug)]
pub(super) struct OwnerLease {
    link: Rc<PeerLink>,
    number: u64,
    /// The values that the owner knows.
    values: SessionValues,
    state: SessionState,
    /// Whether the owner has ended the lease.
    is_ended: bool,
}

/// Why an owner's lease gave no reply.
#[derive(Debug)]
pub(super) enum OwnerError {
    /// Nothing ran, or it may run twice: the statement may be sent elsewhere.
    Elsewhere(&'static str),
    Upstream(UpstreamError),
}

impl OwnerLease {
    /// Begins a lease and runs its first statement. Also returns how long the statement waited at
    /// the owner.
    pub(super) async fn begin(
        link: Rc<PeerLink>,
        request: &OwnerRequest,
        instance: &InstanceId,
        now: Monotonic,
        run: RunMessage,
        values: &SessionValues,
    ) -> Result<(Self, UpstreamReply, Duration), OwnerError> {
        let purpose = request.purpose;
        let acquire = AcquireMessage {
            instance: instance.to_string(),
            customer: request.customer.as_ref().map(CustomerId::to_string),
            priority: request.limits.priority,
            wait_ms: millis_u32(request.limits.give_up_at.saturating_sub(now)),
            is_single: purpose.is_single(),
            run,
        };
        let mut lease = Self {
            number: link.begin_lease(),
            link,
            values: values.clone(),
            state: SessionState::Idle,
            is_ended: false,
        };
        let body = FrameBody::Acquire(Box::new(acquire));
        let (reply, waited) = lease.request(body, purpose.is_first_repeatable()).await?;
        lease.is_ended |= purpose.is_single();
        Ok((lease, reply, waited))
    }

    /// Runs another statement.
    pub(super) async fn run(
        &mut self,
        statement: &Statement,
        after: Option<LogPosition>,
        values: &SessionValues,
        timeout: Duration,
    ) -> Result<UpstreamReply, UpstreamError> {
        if !self.link.speaks(statement.required_protocol()).await {
            let refusal = RefusalReason::OwnerUnreachable;
            let refusal = WaitPolicy::default().refuse(refusal, Duration::ZERO);
            return Err(UpstreamError::NotRun(refusal));
        }
        let new_values = (self.values != *values).then_some(values);
        let message = RunMessage::new(statement, after, new_values, timeout);
        if new_values.is_some() {
            self.values.clone_from(values);
        }
        self.run_message(message).await
    }

    /// Rolls the transaction back.
    pub(super) async fn roll_back(&mut self) -> Result<UpstreamReply, UpstreamError> {
        let message = RunMessage {
            kind: RunKind::Rollback.into(),
            timeout_ms: millis_u32(ROLLBACK_TIMEOUT),
            ..RunMessage::default()
        };
        self.run_message(message).await
    }

    /// Returns the transaction state of the connection.
    pub(super) fn state(&self) -> SessionState {
        self.state
    }

    /// Lets the owner keep the connection.
    pub(super) fn finish(mut self) {
        let release = (!self.is_ended).then_some(true);
        self.link.end_lease(self.number, release);
        self.number = 0;
    }

    async fn run_message(&mut self, message: RunMessage) -> Result<UpstreamReply, UpstreamError> {
        let body = FrameBody::Run(Box::new(message));
        match self.request(body, false).await {
            Ok((reply, _)) => Ok(reply),
            // The owner closes the connection of a link that it lost, which rolls back.
            Err(OwnerError::Elsewhere(_)) => Err(UpstreamError::NotRun(
                WaitPolicy::default().refuse(RefusalReason::OwnerUnreachable, Duration::ZERO),
            )),
            Err(OwnerError::Upstream(error)) => Err(error),
        }
    }

    async fn request(
        &mut self,
        body: FrameBody,
        is_repeatable: bool,
    ) -> Result<(UpstreamReply, Duration), OwnerError> {
        let answer = self.link.request(self.number, body, is_repeatable).await;
        match answer {
            LinkAnswer::Reply(reply, waited) => {
                match reply.state {
                    Some(state) => self.state = state,
                    None => self.is_ended = true,
                }
                return Ok((reply, waited));
            }
            // The owner still has the lease, and may come to it.
            LinkAnswer::Silent => return Err(OwnerError::Elsewhere("silent")),
            LinkAnswer::Refused(_)
            | LinkAnswer::Failed(_)
            | LinkAnswer::NotHandedOver
            | LinkAnswer::Lost => self.is_ended = true,
        }
        Err(match answer {
            LinkAnswer::Refused(refused) => Self::refused(refused),
            LinkAnswer::Failed(reason) => OwnerError::Upstream(failed(reason)),
            LinkAnswer::Lost if is_repeatable => OwnerError::Elsewhere("lost"),
            LinkAnswer::Lost => OwnerError::Upstream(UpstreamError::OwnerLost),
            LinkAnswer::NotHandedOver | LinkAnswer::Silent | LinkAnswer::Reply(..) => {
                OwnerError::Elsewhere("unreachable")
            }
        })
    }

    fn refused(refused: RefusedMessage) -> OwnerError {
        let reason = refused.reason();
        let expected_wait = Duration::from_millis(refused.expected_wait_ms.into());
        let refusal = match reason {
            RefusedReason::Unreadable => RefusalReason::ProtocolViolation,
            RefusedReason::NoneFree | RefusedReason::ConnectionLimit => RefusalReason::QueueFull,
            RefusedReason::Unreachable => RefusalReason::UpstreamUnreachable,
            RefusedReason::SessionSetup => RefusalReason::SessionSetupRefused,
            RefusedReason::NotOwner | RefusedReason::Leaving | RefusedReason::TooManyLeases => {
                return OwnerError::Elsewhere(reason.as_str());
            }
        };
        let refusal = WaitPolicy::default().refuse(refusal, expected_wait);
        OwnerError::Upstream(UpstreamError::NotRun(refusal))
    }
}

impl Drop for OwnerLease {
    fn drop(&mut self) {
        if self.number != 0 {
            let release = (!self.is_ended).then_some(false);
            self.link.end_lease(self.number, release);
        }
    }
}

fn failed(reason: FailedReason) -> UpstreamError {
    match reason {
        FailedReason::ConnectionLost => {
            UpstreamError::Broken(std::io::ErrorKind::ConnectionReset.into())
        }
        FailedReason::TimedOut => UpstreamError::TimedOut,
        FailedReason::Malformed => UpstreamError::Malformed,
    }
}
