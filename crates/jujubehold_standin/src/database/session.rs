//! The session of one connection after its startup.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use jujubehold_pg::{
    Frame, FrameError, FrameReader, backend, command_complete, frontend, ready_for_query,
};
use rusqlite::types::Value;
use tokio::io::AsyncWriteExt;
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::{Notify, SemaphorePermit};
use tokio::time::Instant;

use super::executor::{Attempt, Executor};
use super::extended::ExtendedState;
use super::open_work::OpenWork;
use super::outcome::{Outcome, data_row, row_description};
use super::shared::Shared;
use super::sql_error::SqlError;
use super::sql_text::split_statements;
use super::statement_kind::StatementKind;
use super::transaction::Transaction;

/// How long a statement waits for a lock held by another transaction.
const LOCK_TIMEOUT: Duration = Duration::from_secs(10);
/// The delay between two attempts to acquire a lock.
const LOCK_RETRY_INTERVAL: Duration = Duration::from_millis(2);
/// The number of buffered bytes at which the rows of a result are sent.
const FLUSH_THRESHOLD_BYTES: usize = 32 * 1024;

/// A connection after its startup.
#[derive(Debug)]
pub(crate) struct Session {
    pub(crate) shared: Arc<Shared>,
    pub(crate) executor: Executor,
    pub(crate) extended: ExtendedState,
    open_work: OpenWork,
    reader: FrameReader<OwnedReadHalf>,
    writer: OwnedWriteHalf,
    write_buffer: BytesMut,
    cancel_requested: Arc<Notify>,
    pub(crate) settings: BTreeMap<String, String>,
}

impl Session {
    pub(crate) fn new(
        shared: Arc<Shared>,
        executor: Executor,
        reader: FrameReader<OwnedReadHalf>,
        writer: OwnedWriteHalf,
        cancel_requested: Arc<Notify>,
    ) -> Self {
        Self {
            open_work: OpenWork::new(Arc::clone(&shared)),
            shared,
            executor,
            extended: ExtendedState::default(),
            reader,
            writer,
            write_buffer: BytesMut::new(),
            cancel_requested,
            settings: BTreeMap::new(),
        }
    }

    /// Serves the connection until the caller closes it.
    pub(crate) async fn run(&mut self) -> Result<(), FrameError> {
        while let Some(frame) = self.reader.read().await? {
            self.shared.wait_while_frozen().await;
            match frame.tag() {
                frontend::TERMINATE => return Ok(()),
                frontend::QUERY => {
                    let sql = frame.first_text().unwrap_or_default().to_owned();
                    self.run_query(&sql).await?;
                }
                _ => self.run_extended(&frame).await?,
            }
        }
        Ok(())
    }

    pub(crate) fn buffer_frame(&mut self, frame: &Frame) {
        self.write_buffer.extend_from_slice(frame.bytes());
    }

    /// Sends the buffered frames, after waiting while the instance is frozen.
    pub(crate) async fn flush(&mut self) -> Result<(), FrameError> {
        self.shared.wait_while_frozen().await;
        let write_buffer = self.write_buffer.split();
        self.writer.write_all(&write_buffer).await?;
        Ok(())
    }

    pub(crate) async fn send_ready(&mut self) -> Result<(), FrameError> {
        self.open_work.set(self.executor.transaction.is_some());
        let ready = ready_for_query(self.executor.status_byte());
        self.buffer_frame(&ready);
        self.flush().await
    }

    async fn run_query(&mut self, sql: &str) -> Result<(), FrameError> {
        let statements = split_statements(sql);
        if statements.is_empty() {
            self.write_buffer
                .extend_from_slice(&[backend::EMPTY_QUERY_RESPONSE, 0, 0, 0, 4]);
            return self.send_ready().await;
        }
        if let Err(error) = self.run_statements(&statements).await {
            self.buffer_frame(&error.frame("ERROR"));
            self.abort_after_error();
        }
        self.send_ready().await
    }

    async fn run_statements(&mut self, statements: &[String]) -> Result<(), SqlError> {
        if statements.len() > 1 && self.executor.transaction.is_none() {
            self.executor.begin(Transaction {
                is_implicit: true,
                ..Transaction::default()
            });
        }
        for sql in statements {
            let outcome = self.run_statement(sql, &[]).await?;
            self.buffer_outcome(&outcome).await?;
        }
        if self.is_in_implicit_transaction() {
            self.executor.commit()?;
        }
        Ok(())
    }

    async fn buffer_outcome(&mut self, outcome: &Outcome) -> Result<(), SqlError> {
        if !outcome.columns.is_empty() {
            self.buffer_frame(&row_description(&outcome.columns, &[]));
        }
        for row in &outcome.rows {
            self.buffer_frame(&data_row(&outcome.columns, row, &[]));
            self.flush_when_full().await?;
        }
        self.buffer_frame(&command_complete(&outcome.tag));
        Ok(())
    }

    pub(crate) async fn flush_when_full(&mut self) -> Result<(), SqlError> {
        if self.write_buffer.len() < FLUSH_THRESHOLD_BYTES {
            return Ok(());
        }
        self.flush()
            .await
            .map_err(|error| SqlError::new("08006", error.to_string()))
    }

    /// Handles a failed statement: rolls back an implicit transaction, or marks an explicit one as
    /// failed.
    pub(crate) fn abort_after_error(&mut self) {
        if self.is_in_implicit_transaction() {
            // If the rollback fails, there is no transaction left to roll back.
            let _ = self.executor.rollback();
        } else {
            self.executor.fail_transaction();
        }
    }

    fn is_in_implicit_transaction(&self) -> bool {
        self.executor
            .transaction
            .as_ref()
            .is_some_and(|open| open.is_implicit)
    }

    /// Fails in a failed transaction, unless the statement ends it.
    pub(crate) fn check_not_aborted(&self, kind: &StatementKind) -> Result<(), SqlError> {
        let is_failed = self.executor.status_byte() == b'E';
        let ends_transaction = matches!(
            kind,
            StatementKind::Commit | StatementKind::Rollback | StatementKind::RollbackTo
        );
        if is_failed && !ends_transaction {
            let message = "the transaction is aborted, commands are ignored until its end";
            return Err(SqlError::new("25P02", message));
        }
        Ok(())
    }

    /// Runs one statement of the simple or the extended query protocol.
    pub(crate) async fn run_statement(
        &mut self,
        sql: &str,
        parameters: &[Value],
    ) -> Result<Outcome, SqlError> {
        let kind = StatementKind::classify(sql);
        self.check_not_aborted(&kind)?;
        if !matches!(kind, StatementKind::Group(_)) {
            self.open_work.set(true);
        }
        match kind {
            StatementKind::Empty => Ok(Outcome::without_rows("")),
            StatementKind::Begin { is_read_only } => {
                self.executor.begin(Transaction {
                    is_read_only,
                    ..Transaction::default()
                });
                Ok(Outcome::without_rows("BEGIN"))
            }
            StatementKind::Commit => Ok(Outcome::without_rows(self.executor.commit()?)),
            StatementKind::Rollback => {
                self.executor.rollback()?;
                Ok(Outcome::without_rows("ROLLBACK"))
            }
            StatementKind::RollbackTo => {
                self.executor.rollback_to(sql)?;
                Ok(Outcome::without_rows("ROLLBACK"))
            }
            StatementKind::Set(tag) => {
                self.change_setting(sql);
                Ok(Outcome::without_rows(tag))
            }
            StatementKind::DeallocateAll => {
                self.extended.forget_statements();
                Ok(Outcome::without_rows("DO"))
            }
            StatementKind::Show(name) => {
                let value = self.settings.get(&name).cloned().unwrap_or_default();
                Ok(Outcome::text_rows(&[&name], vec![vec![value]]))
            }
            StatementKind::Sleep(duration) => {
                let shared = Arc::clone(&self.shared);
                let _permit = self.acquire_slot(&shared).await?;
                self.cancellable(tokio::time::sleep(duration)).await?;
                Ok(Outcome::text_rows(&["pg_sleep"], vec![vec![String::new()]]))
            }
            StatementKind::Group(call) => self.run_group_call(call).await,
            StatementKind::Sql => self.run_sql(sql, parameters).await,
        }
    }

    async fn run_sql(&mut self, sql: &str, parameters: &[Value]) -> Result<Outcome, SqlError> {
        let shared = Arc::clone(&self.shared);
        let mut permit = Some(self.acquire_slot(&shared).await?);
        shared
            .statements
            .fetch_add(1, std::sync::atomic::Ordering::Relaxed);
        let service_time = shared.conditions.borrow().service_time;
        if !service_time.is_zero() {
            self.cancellable(tokio::time::sleep(service_time)).await?;
        }
        let deadline = Instant::now() + LOCK_TIMEOUT;
        loop {
            shared.wait_while_frozen().await;
            if let Attempt::Done(outcome) = self.executor.run(sql, parameters)? {
                return Ok(outcome);
            }
            if Instant::now() > deadline {
                return Err(SqlError::new("55P03", "another transaction holds the lock"));
            }
            // The transaction that holds the lock may need the slot to proceed.
            drop(permit.take());
            self.cancellable(tokio::time::sleep(LOCK_RETRY_INTERVAL))
                .await?;
            permit = Some(self.acquire_slot(&shared).await?);
        }
    }

    async fn acquire_slot<'a>(&self, shared: &'a Shared) -> Result<SemaphorePermit<'a>, SqlError> {
        self.cancellable(shared.slots.acquire())
            .await?
            .map_err(|_| SqlError::new("57P01", "the instance stops"))
    }

    async fn cancellable<T>(&self, work: impl Future<Output = T>) -> Result<T, SqlError> {
        tokio::select! {
            biased;
            result = work => Ok(result),
            () = self.cancel_requested.notified() => Err(SqlError::canceled()),
        }
    }

    fn change_setting(&mut self, sql: &str) {
        let text = sql.trim().trim_end_matches(';');
        let lower = text.to_ascii_lowercase();
        if let Some(name) = lower.strip_prefix("reset") {
            match name.trim() {
                "all" => self.settings.clear(),
                name => drop(self.settings.remove(name)),
            }
            return;
        }
        let Some(rest) = text
            .get(3..)
            .filter(|_| text.to_ascii_lowercase().starts_with("set"))
        else {
            return;
        };
        let separated = rest
            .split_once('=')
            .or_else(|| rest.trim().split_once(" TO "));
        if let Some((name, value)) = separated {
            let name = name.trim().to_ascii_lowercase();
            self.settings
                .insert(name, value.trim().trim_matches('\'').to_owned());
        }
    }
}
