//! A connection that one session holds, of this host's pool or of another host that owns the
//! connections to the instance.

use std::rc::Rc;
use std::time::Duration;

use jujubehold_core::log_position::LogPosition;
use jujubehold_core::prelude::*;
use jujubehold_core::statement_name::StatementName;

use super::connection::{UpstreamConnection, UpstreamError};
use super::owner_lease::{OwnerError, OwnerLease, OwnerRequest};
use super::statement::{SessionValues, Statement};
use super::upstream::Upstream;
use crate::peer_link::{PeerLinks, RunMessage};
use crate::protocol::{Platform, SessionState, UpstreamCommand, UpstreamReply};

/// A leased connection. If the lease is dropped without [`finish`](Self::finish), the connection is
/// closed, which rolls back an open transaction.
#[derive(Debug)]
pub(crate) struct ConnectionLease<P: Platform> {
    upstream: Rc<Upstream<P>>,
    hold: Hold<P>,
    /// How long the first statement waited at an owner.
    owner_wait: Option<Duration>,
}

#[derive(Debug)]
enum Hold<P: Platform> {
    /// A connection of this host's pool.
    Direct(Box<DirectConnection<P>>),
    /// A connection of an owner. Nothing has been sent to the owner yet.
    Requested(Box<OwnerRequest>),
    /// A connection of an owner.
    AtOwner(OwnerLease),
    /// The lease has ended.
    Ended,
}

#[derive(Debug)]
struct DirectConnection<P: Platform> {
    connection: UpstreamConnection<P>,
    acquired_at: Monotonic,
}

impl<P: Platform> ConnectionLease<P> {
    pub(super) fn new(
        upstream: Rc<Upstream<P>>,
        connection: UpstreamConnection<P>,
        acquired_at: Monotonic,
    ) -> Self {
        let direct = DirectConnection {
            connection,
            acquired_at,
        };
        Self {
            upstream,
            hold: Hold::Direct(Box::new(direct)),
            owner_wait: None,
        }
    }

    /// Creates a lease of an owner's connection. It is acquired with the first statement.
    pub(crate) fn at_owner(upstream: Rc<Upstream<P>>, request: OwnerRequest) -> Self {
        Self {
            upstream,
            hold: Hold::Requested(Box::new(request)),
            owner_wait: None,
        }
    }

    /// Returns the instance that the connection leads to.
    pub(crate) fn upstream(&self) -> &Rc<Upstream<P>> {
        &self.upstream
    }

    /// Returns whether the connection belongs to this host's pool.
    pub(crate) fn is_direct(&self) -> bool {
        matches!(self.hold, Hold::Direct(_))
    }

    /// Returns how long the lease's first statement waited at an owner, once.
    pub(crate) fn take_owner_wait(&mut self) -> Option<Duration> {
        self.owner_wait.take()
    }

    /// Returns the name that the last statement prepared on this host's connection, once.
    pub(crate) fn take_newly_prepared(&mut self) -> Option<StatementName> {
        match &mut self.hold {
            Hold::Direct(direct) => direct.connection.take_newly_prepared(),
            Hold::Requested(_) | Hold::AtOwner(_) | Hold::Ended => None,
        }
    }

    /// Returns the transaction state of the connection.
    pub(crate) fn state(&self) -> SessionState {
        match &self.hold {
            Hold::Direct(direct) => direct.connection.state(),
            Hold::AtOwner(lease) => lease.state(),
            Hold::Requested(_) | Hold::Ended => SessionState::Idle,
        }
    }

    /// Runs a statement of a session that has set `values`. `timeout` is the time that an owner
    /// waits for the instance; the caller bounds the whole.
    pub(crate) async fn run(
        &mut self,
        statement: &Statement,
        after: Option<LogPosition>,
        values: &SessionValues,
        timeout: Duration,
    ) -> Result<UpstreamReply, UpstreamError> {
        match &mut self.hold {
            Hold::Direct(direct) => direct.connection.run(statement, after, values).await,
            Hold::AtOwner(lease) => lease.run(statement, after, values, timeout).await,
            Hold::Requested(_) => self.run_first(statement, after, values, timeout).await,
            Hold::Ended => Err(ended()),
        }
    }

    /// Runs one command that needs no session values. At an owner, only a rollback can be run.
    pub(crate) async fn run_command(
        &mut self,
        command: &UpstreamCommand<'_>,
    ) -> Result<UpstreamReply, UpstreamError> {
        match &mut self.hold {
            Hold::Direct(direct) => direct.connection.run_command(command).await,
            Hold::AtOwner(lease) if matches!(command, UpstreamCommand::Rollback) => {
                lease.roll_back().await
            }
            Hold::AtOwner(_) | Hold::Requested(_) | Hold::Ended => Err(ended()),
        }
    }

    /// Returns the connection to the pool if another session may use it, or closes it otherwise.
    pub(crate) fn finish(mut self) {
        match std::mem::replace(&mut self.hold, Hold::Ended) {
            Hold::Direct(direct) => {
                let DirectConnection {
                    connection,
                    acquired_at,
                } = *direct;
                self.upstream.return_connection(connection, acquired_at);
            }
            Hold::AtOwner(lease) => lease.finish(),
            Hold::Requested(_) | Hold::Ended => {}
        }
    }

    // Tries the owners in order, and then this host's own pool. Goes on only while the statement has
    // surely not run or may run twice.
    async fn run_first(
        &mut self,
        statement: &Statement,
        after: Option<LogPosition>,
        values: &SessionValues,
        timeout: Duration,
    ) -> Result<UpstreamReply, UpstreamError> {
        let Hold::Requested(request) = std::mem::replace(&mut self.hold, Hold::Ended) else {
            return Err(ended());
        };
        let instance = self.upstream.id();
        let begun_at = self.upstream.now();
        for (owner, address) in &request.owners {
            let Some(link) = request.links.link(owner, *address) else {
                PeerLinks::count_retry("skipped");
                continue;
            };
            if !link.speaks(statement.required_protocol()).await {
                PeerLinks::count_retry("older_version");
                continue;
            }
            let run = RunMessage::new(statement, after, Some(values), timeout);
            let now = self.upstream.now();
            match OwnerLease::begin(link, &request, &instance, now, run, values).await {
                Ok((lease, reply, waited)) => {
                    self.owner_wait = Some(waited);
                    self.hold = Hold::AtOwner(lease);
                    return Ok(reply);
                }
                Err(OwnerError::Elsewhere(reason)) => {
                    PeerLinks::count_retry(reason);
                    if reason == "leaving" {
                        request.links.skip(owner, reason);
                    }
                }
                Err(OwnerError::Upstream(error)) => return Err(error),
            }
        }
        let customer = request.customer.as_ref();
        let acquired = self.upstream.acquire(customer, values, request.limits);
        let mut direct = acquired
            .await
            .map_err(|error| UpstreamError::NotRun(error.refusal()))?;
        self.hold = std::mem::replace(&mut direct.hold, Hold::Ended);
        let Hold::Direct(direct) = &mut self.hold else {
            return Err(ended());
        };
        self.owner_wait = Some(self.upstream.now().saturating_sub(begun_at));
        direct.connection.run(statement, after, values).await
    }
}

fn ended() -> UpstreamError {
    UpstreamError::Broken(std::io::ErrorKind::NotConnected.into())
}

impl<P: Platform> Drop for ConnectionLease<P> {
    fn drop(&mut self) {
        match std::mem::replace(&mut self.hold, Hold::Ended) {
            Hold::Direct(direct) => {
                direct.connection.reset_on_close();
                let acquired_at = direct.acquired_at;
                drop(direct);
                self.upstream.note_closed(acquired_at);
            }
            // The owner's lease closes the connection where that is needed.
            Hold::AtOwner(_) | Hold::Requested(_) | Hold::Ended => {}
        }
    }
}
