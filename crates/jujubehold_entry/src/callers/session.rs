//! A caller's session.

use log::info;
use metrics::{counter, gauge};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::watch;

use super::caller_io::{CallerIo, CallerIoError};
use super::failure::Failure;
use super::identity::{Identity, UnknownCaller};
use super::operation::Operation;
use super::prepared::PreparedStatements;
use super::transaction::{Transaction, already_failed};
use crate::metric_names::{REFUSALS, SESSIONS, UNKNOWNS};
use crate::phase::Phase;
use crate::pool::SessionValues;
use crate::prelude::*;
use crate::protocol::{
    Access, CallerCodec, CallerKey, CallerMessage, CallerRequest, ErrorCode, RequestKind,
    SessionState, UpstreamOutcome, UpstreamReply,
};
use crate::shared::millis;

/// The maximum number of values that one session may set, which bounds its memory.
const MAX_VALUES: usize = 200;
/// How long the start of a session waits for the first configuration; callers time out after 2 s.
const CONFIGURATION_TIMEOUT: Duration = Duration::from_millis(1_700);
/// How long a caller may take to start its session after it connected.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// The session of one caller.
#[derive(Debug)]
pub(crate) struct Session<P: Platform> {
    pub(crate) shared: Rc<Shared<P>>,
    io: CallerIo<P>,
    phase: watch::Receiver<Phase>,
    configuration_version: watch::Receiver<u64>,
    database: SmolStr,
    identity: Identity,
    pub(crate) values: SessionValues,
    statements: PreparedStatements,
    /// The position of the session's own last commit.
    pub(crate) floor: Option<LogPosition>,
    transaction: Option<Transaction<P>>,
}

impl<P: Platform> Session<P> {
    pub(crate) fn new(shared: Rc<Shared<P>>, io: CallerIo<P>) -> Self {
        gauge!(SESSIONS).increment(1);
        shared.session_count.set(shared.session_count.get() + 1);
        let phase = shared.phase.subscribe();
        let configuration_version = shared.configuration_version.subscribe();
        Self {
            shared,
            io,
            phase,
            configuration_version,
            database: SmolStr::default(),
            identity: Identity::default(),
            values: SessionValues::new(),
            statements: PreparedStatements::default(),
            floor: None,
            transaction: None,
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
                CallerMessage::Start { .. } => self.refuse_malformed().await?,
                CallerMessage::End => return Ok(()),
            }
        }
        self.io.close().await;
        Ok(())
    }

    // Returns whether the session has started.
    async fn start(&mut self) -> Result<bool, CallerIoError> {
        let first = tokio::time::timeout(START_TIMEOUT, self.io.read()).await;
        let Ok(message) = first else {
            return Ok(false);
        };
        let CallerMessage::Start { database, key } = message? else {
            self.put_error(ErrorCode::Malformed, "the session has not begun");
            self.io.flush().await?;
            return Ok(false);
        };
        self.wait_for_configuration().await;
        self.database = database;
        let admitted = self.identify(key);
        match &admitted {
            Ok(()) => self.put_ready(None),
            Err(failure) => {
                let (code, detail) = failure.answer();
                self.put_error(code, &detail);
                self.count_failure(failure);
            }
        }
        self.io.flush().await?;
        Ok(admitted.is_ok())
    }

    fn identify(&mut self, key: Option<CallerKey>) -> Result<(), Failure> {
        self.configuration_version.mark_unchanged();
        let configuration = self.shared.configuration.borrow().clone();
        let configuration = configuration
            .filter(|configuration| configuration.routes.contains_key(&self.database))
            .ok_or_else(|| self.unknown_database())?;
        self.identity = Identity::new(&configuration, &self.database, key)
            .map_err(|UnknownCaller| authentication_failed())?;
        Ok(())
    }

    // Checks the caller's key against the current configuration if that has changed.
    fn check_identity(&mut self) {
        // The sender lives as long as the host, so this can't fail.
        if !self.configuration_version.has_changed().unwrap_or(false) {
            return;
        }
        self.configuration_version.mark_unchanged();
        if let Some(configuration) = &*self.shared.configuration.borrow() {
            let now = self.shared.now();
            self.identity.check(now, configuration, &self.database);
        }
    }

    // Returns whether the caller's key was revoked and nothing admitted before is left to end.
    fn has_lost_access(&self) -> bool {
        self.identity.is_revoked() && self.transaction.is_none()
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
        let is_idle = self.transaction.is_none();
        let end_at = if is_idle {
            Phase::EndingSessions
        } else {
            Phase::ClosingTransactions
        };
        if self.has_lost_access() {
            return Ok(None);
        }
        let idle_timeout = self.transaction_idle_timeout();
        let phase = &mut self.phase;
        let configuration_version = &mut self.configuration_version;
        let io = &mut self.io;
        let phase_reached = async {
            // The sender is dropped only with the host, so this can't fail.
            let _ = phase.wait_for(|phase| *phase >= end_at).await;
        };
        let idled = async {
            match idle_timeout {
                Some(limit) => actix_rt::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            message = io.read() => return message.map(Some),
            () = phase_reached => {}
            _ = configuration_version.changed() => {
                configuration_version.mark_changed();
                self.check_identity();
                return Box::pin(self.next_message()).await;
            }
            () = idled => return self.fail_idle_transaction().await,
        }
        if let Some(mut transaction) = self.transaction.take() {
            transaction.fail();
        }
        Ok(None)
    }

    // Returns how long a transaction that holds a connection may be idle.
    fn transaction_idle_timeout(&self) -> Option<Duration> {
        let transaction = self.transaction.as_ref()?;
        if !transaction.is_open() {
            return None;
        }
        let configuration = self.shared.configuration.borrow();
        let idle_timeout = configuration.as_ref()?.transaction_idle;
        let remaining = self
            .identity
            .transaction_ends_at()
            .map(|ends_at| ends_at.saturating_sub(self.shared.now()));
        Some(remaining.map_or(idle_timeout, |remaining| idle_timeout.min(remaining)))
    }

    // The caller learns of the failure from the answer to its next statement: an answer that
    // belongs to no request would end its session.
    async fn fail_idle_transaction(&mut self) -> Result<Option<CallerMessage>, CallerIoError> {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
            info!(database = self.database.as_str(); "rolling back an idle transaction");
        }
        Box::pin(self.next_message()).await
    }

    async fn handle_request(&mut self, request: CallerRequest) -> Result<(), CallerIoError> {
        let arrived_at = self.shared.now();
        match self.run(&request, arrived_at).await {
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
        if self.state() == SessionState::Failed {
            return self.run_in_failed_transaction(request);
        }
        self.check_identity();
        self.reject_revoked()?;
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
            RequestKind::Prepare {
                name,
                access,
                shape,
            } => {
                self.statements.prepare(name, *access, shape)?;
                Ok(None)
            }
            RequestKind::Deallocate { name } => {
                self.statements.deallocate(name)?;
                Ok(None)
            }
            RequestKind::Data(_) | RequestKind::Execute { .. } => {
                self.run_data(request, arrived_at).await.map(Some)
            }
            RequestKind::Malformed => Err(Failure::error(ErrorCode::Malformed, "not understood")),
        }
    }

    // Rejects a request whose caller's key was revoked, unless it belongs to a transaction that may
    // still end.
    fn reject_revoked(&mut self) -> Result<(), Failure> {
        let Some(ends_at) = self.identity.transaction_ends_at() else {
            return Ok(());
        };
        let Some(transaction) = &mut self.transaction else {
            return Err(authentication_failed());
        };
        if self.shared.now() < ends_at {
            return Ok(());
        }
        transaction.fail();
        Err(Failure::RolledBack("key_revoked".into()))
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
            | RequestKind::Malformed => Err(already_failed()),
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
        self.transaction = Some(Transaction::new(operation, request.clone(), is_read_only));
        Ok(())
    }

    fn set(&mut self, name: &SmolStr, value: &SmolStr) -> Result<Option<UpstreamReply>, Failure> {
        if self.values.len() >= MAX_VALUES && !self.values.contains_key(name) {
            return Err(Failure::error(ErrorCode::TooLarge, "too many values"));
        }
        self.values.insert(name.clone(), value.clone());
        Ok(None)
    }

    async fn run_data(
        &mut self,
        request: &CallerRequest,
        arrived_at: Monotonic,
    ) -> Result<UpstreamReply, Failure> {
        let resolved = self.statements.resolve(request);
        let Some(mut transaction) = self.transaction.take() else {
            let (statement, access) = resolved?;
            let operation = self.operation(arrived_at)?;
            return match access {
                Access::Read => Box::pin(self.run_read(&operation, &statement, arrived_at)).await,
                Access::Write => Box::pin(self.run_write(&operation, &statement, arrived_at)).await,
            };
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
        })
    }

    fn unknown_database(&self) -> Failure {
        Failure::error(ErrorCode::UnknownDatabase, &self.database)
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

    async fn refuse_malformed(&mut self) -> Result<(), CallerIoError> {
        self.put_error(ErrorCode::Malformed, "the session has begun already");
        self.put_ready(None);
        self.io.flush().await
    }

    fn log_failure(&self, request: &CallerRequest, arrived_at: Monotonic, failure: &Failure) {
        self.count_failure(failure);
        let now = self.shared.now();
        if !self.shared.log.allows(now) {
            return;
        }
        let (read_age, revision) = self.lead_age(now);
        let service = self.shared.route(&self.database).map(|route| route.service);
        let (code, detail) = failure.answer();
        info!(request = request.id.as_str(), database = self.database.as_str(),
            service = service.unwrap_or_default().as_str(), reason = failure.reason().as_str(),
            told = code.as_str(), detail = detail.as_str(),
            state = format_smolstr!("{:?}", self.state()).as_str(),
            taken_ms = millis(now.saturating_sub(arrived_at)),
            lead_revision = revision, lead_age_ms = read_age;
            "request failed");
    }

    fn lead_age(&self, now: Monotonic) -> (u64, u64) {
        let lead_state = self.shared.lead_state.borrow();
        let read_at = lead_state.proof.read_sent_at().unwrap_or_default();
        (
            millis(now.saturating_sub(read_at)),
            lead_state.table.revision,
        )
    }

    fn count_failure(&self, failure: &Failure) {
        let service = self.shared.route(&self.database).map(|route| route.service);
        let service = service.unwrap_or_default().to_string();
        let reason = failure.reason().to_string();
        let name = match failure {
            Failure::Unknown(_) => UNKNOWNS,
            Failure::Refused(_) | Failure::RolledBack(_) | Failure::Error { .. } => REFUSALS,
        };
        counter!(name, "service" => service, "reason" => reason).increment(1);
    }
}

fn authentication_failed() -> Failure {
    Failure::error(ErrorCode::AuthenticationFailed, "no customer has this key")
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
