//! One caller's session.

use log::info;
use metrics::{counter, gauge};
use smol_str::{SmolStr, format_smolstr};
use tokio::sync::watch;

use super::caller_io::{CallerGone, CallerIo};
use super::failure::Failure;
use super::operation::Operation;
use super::prepared::PreparedStatements;
use super::transaction::{Transaction, already_failed};
use crate::metric_names::{REFUSALS, SESSIONS, UNKNOWNS};
use crate::phase::Phase;
use crate::pool::SessionValues;
use crate::prelude::*;
use crate::protocol::{
    Access, CallerCodec, CallerMessage, CallerRequest, ErrorCode, RequestKind, SessionState,
    UpstreamOutcome, UpstreamReply,
};
use crate::shared::millis;

/// Values that one session may set; a bound on its memory.
const MAX_VALUES: usize = 200;
/// How long the start of a session waits for the first configuration; callers wait 2 s.
const CONFIGURATION_PATIENCE: Duration = Duration::from_millis(1_700);
/// How long a connection may stand open before its session begins.
const START_TIMEOUT: Duration = Duration::from_secs(5);

/// One caller's session.
#[derive(Debug)]
pub(crate) struct Session<P: Platform> {
    pub(crate) shared: Rc<Shared<P>>,
    io: CallerIo<P>,
    phase: watch::Receiver<Phase>,
    database: SmolStr,
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
        Self {
            shared,
            io,
            phase,
            database: SmolStr::default(),
            values: SessionValues::new(),
            statements: PreparedStatements::default(),
            floor: None,
            transaction: None,
        }
    }

    /// Serves the caller until it leaves or the host does.
    pub(crate) async fn serve(&mut self) -> Result<(), CallerGone> {
        if !self.start().await? {
            self.io.close().await;
            return Ok(());
        }
        while let Some(message) = self.next_message().await? {
            match message {
                CallerMessage::Request(request) => self.take(request).await?,
                CallerMessage::Start { .. } => self.refuse_malformed().await?,
                CallerMessage::End => return Ok(()),
            }
        }
        self.io.close().await;
        Ok(())
    }

    // Whether the session has begun.
    async fn start(&mut self) -> Result<bool, CallerGone> {
        let first = tokio::time::timeout(START_TIMEOUT, self.io.read()).await;
        let Ok(message) = first else {
            return Ok(false);
        };
        let CallerMessage::Start { database } = message? else {
            self.put_error(ErrorCode::Malformed, "the session has not begun");
            self.io.flush().await?;
            return Ok(false);
        };
        self.wait_for_configuration().await;
        let is_known = self.shared.route(&database).is_some();
        self.database = database;
        if is_known {
            self.put_ready(None);
        } else {
            let (code, detail) = self.unknown_database().answer();
            self.put_error(code, &detail);
            self.count_failure(&self.unknown_database());
        }
        self.io.flush().await?;
        Ok(is_known)
    }

    // A host that has just started knows no database yet, which is not the caller's fault.
    async fn wait_for_configuration(&self) {
        let give_up_at = self.shared.now() + CONFIGURATION_PATIENCE;
        while self.shared.configuration.borrow().is_none() {
            let left = give_up_at.saturating_sub(self.shared.now());
            if left.is_zero() {
                return;
            }
            self.shared.wait_for_change(left).await;
        }
    }

    /// The caller's next message; `None` when the host ends the session.
    async fn next_message(&mut self) -> Result<Option<CallerMessage>, CallerGone> {
        let is_idle = self.transaction.is_none();
        let end_at = if is_idle {
            Phase::Ending
        } else {
            Phase::Closing
        };
        let idle_limit = self.transaction_idle();
        let phase = &mut self.phase;
        let io = &mut self.io;
        let ended = async {
            // The sender lives as long as the host.
            let _ = phase.wait_for(|phase| *phase >= end_at).await;
        };
        let rested = async {
            match idle_limit {
                Some(limit) => actix_rt::time::sleep(limit).await,
                None => std::future::pending().await,
            }
        };
        tokio::select! {
            biased;
            message = io.read() => return message.map(Some),
            () = ended => {}
            () = rested => return self.give_up_resting().await,
        }
        if let Some(mut transaction) = self.transaction.take() {
            transaction.fail();
        }
        Ok(None)
    }

    // How long a transaction that holds a connection may rest.
    fn transaction_idle(&self) -> Option<Duration> {
        let transaction = self.transaction.as_ref()?;
        let configuration = self.shared.configuration.borrow();
        transaction
            .is_open()
            .then(|| {
                configuration
                    .as_ref()
                    .map(|configuration| configuration.transaction_idle)
            })
            .flatten()
    }

    // The caller hears of it with its next statement: an answer to nothing would end its session.
    async fn give_up_resting(&mut self) -> Result<Option<CallerMessage>, CallerGone> {
        if let Some(transaction) = &mut self.transaction {
            transaction.fail();
            info!(database = self.database.as_str(); "a transaction rested too long");
        }
        Box::pin(self.next_message()).await
    }

    async fn take(&mut self, request: CallerRequest) -> Result<(), CallerGone> {
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
            return self.run_failed(request);
        }
        match &request.kind {
            RequestKind::Begin { is_read_only } => {
                self.begin(request, *is_read_only, arrived_at)?;
                Ok(None)
            }
            RequestKind::Commit => {
                let transaction = self.transaction.take().ok_or_else(out_of_turn)?;
                let commit = Box::pin(self.commit(transaction, request, arrived_at));
                Ok(Some(commit.await?))
            }
            RequestKind::Rollback => {
                let mut transaction = self.transaction.take().ok_or_else(out_of_turn)?;
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
            RequestKind::Malformed => Err(Failure::told(ErrorCode::Malformed, "not understood")),
        }
    }

    fn run_failed(&mut self, request: &CallerRequest) -> Result<Option<UpstreamReply>, Failure> {
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
            return Err(out_of_turn());
        }
        let operation = self.operation(arrived_at)?;
        self.transaction = Some(Transaction::new(operation, request.clone(), is_read_only));
        Ok(())
    }

    fn set(&mut self, name: &SmolStr, value: &SmolStr) -> Result<Option<UpstreamReply>, Failure> {
        if self.values.len() >= MAX_VALUES && !self.values.contains_key(name) {
            return Err(Failure::told(ErrorCode::TooLarge, "too many values"));
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
        Ok(Operation { route, began_at })
    }

    fn unknown_database(&self) -> Failure {
        Failure::told(ErrorCode::UnknownDatabase, &self.database)
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

    async fn refuse_malformed(&mut self) -> Result<(), CallerGone> {
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
        let lead = self.shared.lead.borrow();
        let read_at = lead.proof.read_asked_at().unwrap_or_default();
        (millis(now.saturating_sub(read_at)), lead.table.revision)
    }

    fn count_failure(&self, failure: &Failure) {
        let service = self.shared.route(&self.database).map(|route| route.service);
        let service = service.unwrap_or_default().to_string();
        let reason = failure.reason().to_string();
        let name = match failure {
            Failure::Unknown(_) => UNKNOWNS,
            Failure::Refused(_) | Failure::RolledBack(_) | Failure::Told { .. } => REFUSALS,
        };
        counter!(name, "service" => service, "reason" => reason).increment(1);
    }
}

fn out_of_turn() -> Failure {
    Failure::told(ErrorCode::Malformed, "out of turn")
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
