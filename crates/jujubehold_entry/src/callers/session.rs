//! A caller's session.

mod access;
mod admission;
mod failure_log;
mod last_answers;

use std::cell::Cell;

use log::info;
use metrics::gauge;
use smol_str::SmolStr;
use tokio::sync::watch;

use super::caller_io::{CallerIo, CallerIoError};
use super::failure::Failure;
use super::identity::Identity;
use super::kept_bytes::{KeptBytes, entry_bytes};
use super::operation::Operation;
use super::prepared::PreparedStatements;
use super::transaction::{Transaction, already_failed};
use crate::control::expect_operation;
use crate::metric_names::SESSIONS;
use crate::phase::Phase;
use crate::pool::{
    MAX_STATEMENT_BYTES, MAX_VALUES_BYTES, SessionValues, Statement, value_length, values_length,
};
use crate::prelude::*;
use crate::protocol::{
    Access, CallerCodec, CallerMessage, CallerRequest, ErrorCode, LastField, MalformedMessage,
    RequestKind, SessionState, UpstreamOutcome, UpstreamReply, Word,
};

/// The maximum number of values that one session may set.
const MAX_VALUES: usize = 200;
/// How long the start of a session waits for the first configuration; callers time out after 2 s.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_700);
/// How long a caller may take to start its session after it connected.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// What ends the wait for a caller.
enum SessionEvent {
    Message(CallerMessage),
    ConfigurationChanged,
    /// The session's transaction has been idle too long, or its caller's key was revoked.
    TransactionExpired,
    /// The host no longer serves sessions in this state.
    PhaseReached,
}

/// The session of one caller.
#[derive(Debug)]
pub(crate) struct Session<P: Platform> {
    pub(crate) shared: Rc<Shared<P>>,
    io: CallerIo<P>,
    phase: watch::Receiver<Phase>,
    configuration_version: watch::Receiver<u64>,
    /// The version of the configuration against which the caller's key was last checked.
    checked_version: u64,
    database: SmolStr,
    identity: Identity,
    pub(crate) values: SessionValues,
    statements: PreparedStatements,
    /// The bytes of the values and prepared statements.
    kept: KeptBytes,
    /// The position of the session's own last commit.
    pub(crate) floor: Option<LogPosition>,
    transaction: Option<Transaction<P>>,
    /// Whether an instance may have run a statement of the current operation.
    pub(crate) may_have_run: Cell<bool>,
}

impl<P: Platform> Session<P> {
    pub(crate) fn new(shared: Rc<Shared<P>>, io: CallerIo<P>) -> Self {
        gauge!(SESSIONS).increment(1);
        shared.session_count.set(shared.session_count.get() + 1);
        let phase = shared.phase.subscribe();
        let configuration_version = shared.configuration_version.subscribe();
        let kept = KeptBytes::new(&shared.session_bytes);
        Self {
            shared,
            io,
            phase,
            configuration_version,
            checked_version: 0,
            database: SmolStr::default(),
            identity: Identity::default(),
            values: SessionValues::new(),
            statements: PreparedStatements::default(),
            kept,
            floor: None,
            transaction: None,
            may_have_run: Cell::new(false),
        }
    }

    /// Serves the caller until it ends the session or the host does.
    pub(crate) async fn serve(&mut self) -> Result<(), CallerIoError> {
        if !self.start().await? {
            self.io.close().await;
            return Ok(());
        }
        while let Some(message) = self.next_message().await? {
            match message {
                CallerMessage::Request(request) => {
                    self.handle_request(request).await?;
                    if self.has_lost_access() {
                        break;
                    }
                }
                CallerMessage::Start { .. } => {
                    self.answer_invalid(&out_of_order()).await?;
                }
                CallerMessage::Invalid(error) => {
                    let failure = if self.state() == SessionState::Failed {
                        already_failed()
                    } else {
                        invalid(error)
                    };
                    self.answer_invalid(&failure).await?;
                }
                CallerMessage::End => return Ok(()),
            }
        }
        if self.has_lost_access() {
            self.log_revoked();
        }
        self.io.close().await;
        Ok(())
    }

    // Returns whether the session has started.
    async fn start(&mut self) -> Result<bool, CallerIoError> {
        let first = tokio::select! {
            biased;
            first = tokio::time::timeout(START_TIMEOUT, self.io.read()) => first.ok(),
            _ = self.phase.wait_for(|phase| *phase >= Phase::AnsweringRequests) => None,
        };
        let Some(message) = first else {
            return Ok(false);
        };
        let (database, key) = match message? {
            CallerMessage::Start { database, key } => (database, key),
            CallerMessage::Invalid(error) => return self.reject(&invalid(error)).await,
            CallerMessage::Request(_) | CallerMessage::End => {
                let detail = "the session has not begun";
                let failure = Failure::error(ErrorCode::Malformed, detail);
                return self.reject(&failure).await;
            }
        };
        self.wait_for_configuration().await;
        self.database = database;
        if let Err(failure) = self.identify(key) {
            return self.reject(&failure).await;
        }
        self.put_ready(None);
        self.io.flush().await?;
        Ok(true)
    }

    // Answers a start that is not admitted. Returns `false`, since the session has not started.
    async fn reject(&mut self, failure: &Failure) -> Result<bool, CallerIoError> {
        let (code, detail) = failure.answer();
        self.put_error(code, &detail);
        self.count_failure(failure);
        self.log_rejection(failure);
        self.io.flush().await?;
        Ok(false)
    }

    // A host that has just started has no configuration yet, so it can't tell whether the database
    // exists.
    async fn wait_for_configuration(&self) {
        let give_up_at = self.shared.now() + CONFIGURATION_TIMEOUT;
        while self.shared.configuration.borrow().is_none() {
            let remaining = give_up_at.saturating_sub(self.shared.now());
            if remaining.is_zero() {
                return;
            }
            self.shared.wait_for_change(remaining).await;
        }
    }

    /// Returns the caller's next message, or `None` if the host ends the session.
    async fn next_message(&mut self) -> Result<Option<CallerMessage>, CallerIoError> {
        let idle_since = self.shared.now();
        while !self.has_lost_access() {
            match self.next_event(idle_since).await? {
                SessionEvent::Message(message) => return Ok(Some(message)),
                SessionEvent::ConfigurationChanged => self.check_identity(),
                SessionEvent::TransactionExpired => self.fail_expired_transaction(),
                SessionEvent::PhaseReached => {
                    if let Some(mut transaction) = self.transaction.take() {
                        transaction.fail();
                    }
                    return Ok(None);
                }
            }
        }
        Ok(None)
    }

    // Waits for the next event of a session whose caller has been idle since `idle_since`.
    async fn next_event(&mut self, idle_since: Monotonic) -> Result<SessionEvent, CallerIoError> {
        let end_at = if self.transaction.is_none() {
            Phase::EndingSessions
        } else {
            Phase::ClosingTransactions
        };
        let expires_at = self.idle_transaction_expires_at(idle_since);
        let remaining = expires_at.map(|at| at.saturating_sub(self.shared.now()));
        let expired = async {
            match remaining {
                Some(remaining) => actix_rt::time::sleep(remaining).await,
                None => std::future::pending().await,
            }
        };
        // The senders are dropped only with the host, so the watches can't fail.
        tokio::select! {
            biased;
            message = self.io.read() => Ok(SessionEvent::Message(message?)),
            _ = self.phase.wait_for(|phase| *phase >= end_at) => Ok(SessionEvent::PhaseReached),
            // Leaves the version marked as unseen if another event comes first.
            _ = self.configuration_version.wait_for(|version| *version != self.checked_version) => {
                Ok(SessionEvent::ConfigurationChanged)
            }
            () = expired => Ok(SessionEvent::TransactionExpired),
        }
    }

    // Returns when a transaction that holds a connection is rolled back if its caller, which has
    // been idle since `idle_since`, stays so. New configurations do not extend that time.
    fn idle_transaction_expires_at(&self, idle_since: Monotonic) -> Option<Monotonic> {
        let transaction = self.transaction.as_ref()?;
        if !transaction.is_open() {
            return None;
        }
        let configuration = self.shared.configuration.borrow();
        let expires_at = idle_since + configuration.as_ref()?.transaction_idle;
        let ends_at = self.identity.transaction_ends_at();
        Some(ends_at.map_or(expires_at, |ends_at| ends_at.min(expires_at)))
    }

    // The caller learns of the failure from the answer to its next statement: an answer that
    // belongs to no request would end its session.
    fn fail_expired_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
            let is_revoked = self.identity.is_revoked();
            info!(database = self.database.as_str(), is_revoked;
                "rolling back an idle transaction");
        }
    }

    async fn handle_request(&mut self, request: CallerRequest) -> Result<(), CallerIoError> {
        let arrived_at = self.shared.now();
        match self.run_while_serving(&request, arrived_at).await {
            Ok(reply) => self.put_reply(reply.as_ref()),
            Err(failure) => {
                self.log_failure(&request, arrived_at, &failure);
                let (code, detail) = failure.answer();
                self.put_error(code, &detail);
                self.put_ready(None);
            }
        }
        self.io.flush().await
    }

    async fn run(
        &mut self,
        request: &CallerRequest,
        arrived_at: Monotonic,
    ) -> Result<Option<UpstreamReply>, Failure> {
        self.check_identity();
        self.reject_revoked(&request.kind)?;
        if self.state() == SessionState::Failed {
            return self.run_in_failed_transaction(request);
        }
        match &request.kind {
            RequestKind::Begin { is_read_only } => {
                self.begin(request, *is_read_only, arrived_at)?;
                Ok(None)
            }
            RequestKind::Commit => {
                let transaction = self.transaction.take().ok_or_else(out_of_order)?;
                let commit = Box::pin(self.commit(transaction, request, arrived_at));
                Ok(Some(commit.await?))
            }
            RequestKind::Rollback => {
                let mut transaction = self.transaction.take().ok_or_else(out_of_order)?;
                transaction.fail();
                Ok(None)
            }
            RequestKind::Set { name, value } => self.set(name, value),
            RequestKind::Prepare { name, statement } => {
                self.statements.prepare(name, statement, &mut self.kept)?;
                Ok(None)
            }
            RequestKind::Deallocate { name } => {
                self.statements.deallocate(name, &mut self.kept)?;
                Ok(None)
            }
            RequestKind::Data(_) | RequestKind::Execute { .. } => {
                self.run_data(request, arrived_at).await.map(Some)
            }
            RequestKind::Malformed(error) => Err(invalid(*error)),
        }
    }

    fn run_in_failed_transaction(
        &mut self,
        request: &CallerRequest,
    ) -> Result<Option<UpstreamReply>, Failure> {
        match request.kind {
            RequestKind::Rollback => {
                self.transaction = None;
                Ok(None)
            }
            RequestKind::Commit => {
                self.transaction = None;
                Err(Failure::RolledBack("transaction_failed".into()))
            }
            RequestKind::Begin { .. }
            | RequestKind::Data(_)
            | RequestKind::Execute { .. }
            | RequestKind::Set { .. }
            | RequestKind::Prepare { .. }
            | RequestKind::Deallocate { .. }
            | RequestKind::Malformed(_) => Err(already_failed()),
        }
    }

    fn begin(
        &mut self,
        request: &CallerRequest,
        is_read_only: bool,
        arrived_at: Monotonic,
    ) -> Result<(), Failure> {
        if self.transaction.is_some() {
            return Err(out_of_order());
        }
        let operation = self.operation(arrived_at)?;
        expect_operation(&self.shared, operation.customer.as_ref());
        self.transaction = Some(Transaction::new(operation, request.clone(), is_read_only));
        Ok(())
    }

    fn set(&mut self, name: &Word, value: &LastField) -> Result<Option<UpstreamReply>, Failure> {
        if self.values.len() >= MAX_VALUES && !self.values.contains_key(name) {
            return Err(Failure::error(ErrorCode::TooLarge, "too many values"));
        }
        let earlier = self.values.get(name);
        let earlier_length = earlier.map_or(0, |earlier| value_length(name, earlier));
        let others_length = values_length(&self.values) - earlier_length;
        if others_length + value_length(name, value) > MAX_VALUES_BYTES {
            return Err(Failure::error(
                ErrorCode::TooLarge,
                "the values are too long",
            ));
        }
        let earlier_bytes = earlier.map_or(0, |earlier| entry_bytes(name, earlier));
        self.kept.replace(earlier_bytes, entry_bytes(name, value))?;
        self.values.insert(name.clone(), value.clone());
        Ok(None)
    }

    // Returns the statement that a request runs, and whether it may change data.
    fn resolve(&self, request: &CallerRequest) -> Result<(Statement, Access), Failure> {
        let (statement, access) = self.statements.resolve(request)?;
        if statement.length() + values_length(&self.values) > MAX_STATEMENT_BYTES {
            let detail = "the statement and the session's values are too long";
            return Err(Failure::error(ErrorCode::TooLarge, detail));
        }
        Ok((statement, access))
    }

    async fn run_data(
        &mut self,
        request: &CallerRequest,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        let resolved = self.resolve(request);
        let Some(mut transaction) = self.transaction.take() else {
            let (statement, access) = resolved?;
            let operation = self.operation(arrived_at)?;
            let admitted = self.admit(&operation, arrived_at).await?;
            let result = match access {
                Access::Read => Box::pin(self.run_read(&operation, &statement, arrived_at)).await,
                Access::Write => Box::pin(self.run_write(&operation, &statement, arrived_at)).await,
            };
            self.return_unused(&operation, admitted);
            return result;
        };
        let result = match resolved {
            Ok((statement, access)) => {
                let running =
                    self.run_in_transaction(&mut transaction, &statement, access, arrived_at);
                Box::pin(running).await
            }
            Err(failure) => {
                transaction.fail();
                Err(failure)
            }
        };
        self.transaction = Some(transaction);
        result
    }

    fn operation(&self, began_at: Monotonic) -> Result<Operation, Failure> {
        let route = self.shared.route(&self.database);
        let route = route.ok_or_else(|| self.unknown_database())?;
        Ok(Operation {
            route,
            customer: self.identity.customer().cloned(),
            began_at,
            ends_at: None,
        })
    }

    fn unknown_database(&self) -> Failure {
        self.deny(Failure::error(ErrorCode::UnknownDatabase, &self.database))
    }

    fn state(&self) -> SessionState {
        match &self.transaction {
            Some(transaction) => transaction.state(),
            None => SessionState::Idle,
        }
    }

    fn put_reply(&mut self, reply: Option<&UpstreamReply>) {
        let proof = reply.and_then(|reply| match &reply.outcome {
            Some(UpstreamOutcome::Complete { proof }) => Some(proof),
            Some(UpstreamOutcome::Error { .. }) | None => None,
        });
        for row in reply.into_iter().flat_map(|reply| &reply.rows) {
            self.io.put(|codec, out| codec.put_row(row, out));
        }
        self.io.put(|codec, out| codec.put_complete(proof, out));
        self.put_ready(reply.and_then(|reply| reply.position));
    }

    fn put_ready(&mut self, position: Option<LogPosition>) {
        let state = self.state();
        self.io
            .put(|codec, out| codec.put_ready(state, position, out));
    }

    fn put_error(&mut self, code: ErrorCode, detail: &str) {
        self.io.put(|codec, out| codec.put_error(code, detail, out));
    }

    async fn answer_invalid(&mut self, failure: &Failure) -> Result<(), CallerIoError> {
        self.count_failure(failure);
        let (code, detail) = failure.answer();
        self.put_error(code, &detail);
        self.put_ready(None);
        self.io.flush().await
    }
}

fn authentication_failed() -> Failure {
    Failure::error(ErrorCode::AuthenticationFailed, "no customer has this key")
}

fn invalid(error: MalformedMessage) -> Failure {
    match error {
        MalformedMessage::TooLong => Failure::error(ErrorCode::TooLarge, "the message is too long"),
        MalformedMessage::Unreadable => Failure::error(ErrorCode::Malformed, "not understood"),
    }
}

fn out_of_order() -> Failure {
    Failure::error(ErrorCode::Malformed, "out of turn")
}

impl<P: Platform> Drop for Session<P> {
    fn drop(&mut self) {
        gauge!(SESSIONS).decrement(1);
        let count = &self.shared.session_count;
        count.set(count.get().saturating_sub(1));
        if let Some(mut transaction) = self.transaction.take() {
            transaction.fail();
        }
    }
}
