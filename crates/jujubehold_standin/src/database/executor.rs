//! Executes the statements of one connection in `SQLite`.

use std::sync::Arc;

use jujubehold_core::prelude::Position;
use rusqlite::types::Value;
use rusqlite::{Connection, ErrorCode, Statement};

use super::inference;
use super::instance::open_file;
use super::outcome::{Column, Outcome};
use super::shared::Shared;
use super::sql_error::SqlError;
use super::sql_text::{first_word, with_current_time, without_postgres_syntax};
use super::sql_type::SqlType;
use super::transaction::Transaction;

/// The result of an attempt to run a statement.
#[derive(Debug)]
pub(crate) enum Attempt<T> {
    Done(T),
    /// Another connection holds the write lock, so the statement did not run.
    Busy,
}

/// One connection's `SQLite` handle, with the transaction that is open on it.
#[derive(Debug)]
pub(crate) struct Executor {
    shared: Arc<Shared>,
    connection: Connection,
    file_number: u64,
    pub(crate) transaction: Option<Transaction>,
    pub(crate) last_commit: Position,
}

/// The parameter types and result columns of a statement.
#[derive(Debug, Clone, PartialEq)]
pub(crate) struct Description {
    pub(crate) parameters: Vec<SqlType>,
    pub(crate) columns: Vec<Column>,
}

impl Executor {
    pub(crate) fn open(shared: Arc<Shared>) -> Result<Self, SqlError> {
        let (file_number, path) = shared.instance().file();
        let connection = open_file(&path)?;
        Ok(Self {
            shared,
            connection,
            file_number,
            transaction: None,
            last_commit: 0,
        })
    }

    /// Returns the transaction status byte of a ready-for-query message.
    pub(crate) fn status_byte(&self) -> u8 {
        match &self.transaction {
            None => b'I',
            Some(transaction) if transaction.is_failed => b'E',
            Some(_) => b'T',
        }
    }

    pub(crate) fn begin(&mut self, transaction: Transaction) {
        match &mut self.transaction {
            Some(open) => open.is_implicit &= transaction.is_implicit,
            None => self.transaction = Some(transaction),
        }
    }

    /// Commits the transaction, or rolls it back if it has failed, and returns the command tag.
    pub(crate) fn commit(&mut self) -> Result<&'static str, SqlError> {
        if self.status_byte() == b'E' {
            self.rollback()?;
            return Ok("ROLLBACK");
        }
        if let Some(transaction) = self
            .transaction
            .take()
            .filter(|open| open.is_begun_in_sqlite)
        {
            let writes = if transaction.has_written {
                transaction.writes
            } else {
                Vec::new()
            };
            self.commit_writes(writes)?;
        }
        Ok("COMMIT")
    }

    pub(crate) fn rollback(&mut self) -> Result<(), SqlError> {
        if self
            .transaction
            .take()
            .is_some_and(|open| open.is_begun_in_sqlite)
        {
            self.connection.execute_batch("ROLLBACK")?;
        }
        Ok(())
    }

    pub(crate) fn fail_transaction(&mut self) {
        if let Some(transaction) = &mut self.transaction {
            transaction.is_failed = true;
        }
    }

    /// Rolls back to a savepoint, which makes a failed transaction usable again.
    pub(crate) fn rollback_to(&mut self, sql: &str) -> Result<(), SqlError> {
        self.connection.execute_batch(sql)?;
        if let Some(transaction) = &mut self.transaction {
            transaction.is_failed = false;
            transaction.writes.push(sql.to_owned());
        }
        Ok(())
    }

    /// Runs one statement with its parameters.
    pub(crate) fn run(
        &mut self,
        sql: &str,
        parameters: &[Value],
    ) -> Result<Attempt<Outcome>, SqlError> {
        self.refresh()?;
        match self.run_prepared(sql, parameters) {
            Ok(outcome) => Ok(Attempt::Done(outcome)),
            Err(RunError::Busy) => Ok(Attempt::Busy),
            Err(RunError::Sql(error)) => Err(error),
        }
    }

    /// Infers a statement's parameter types and result columns from its text and the declarations
    /// of its tables.
    pub(crate) fn describe(
        &mut self,
        sql: &str,
        type_oids: &[u32],
    ) -> Result<Description, SqlError> {
        self.refresh()?;
        let parameters = inference::parameter_types(&self.connection, sql, type_oids);
        let statement = self.connection.prepare(&without_postgres_syntax(sql))?;
        let columns = result_columns(statement);
        Ok(Description {
            parameters,
            columns,
        })
    }

    fn run_prepared(&mut self, sql: &str, parameters: &[Value]) -> Result<Outcome, RunError> {
        let locks_rows = sql.trim_end().to_ascii_lowercase().ends_with("for update");
        let text = with_current_time(&without_postgres_syntax(sql));
        if is_savepoint(&text) {
            return self.run_savepoint(&text);
        }
        let mut statement = self.connection.prepare(&text)?;
        bind(&mut statement, parameters)?;
        if statement.readonly() {
            if let Some(transaction) = self.transaction.as_mut().filter(|_| locks_rows) {
                open_transaction(&self.connection, transaction, "BEGIN IMMEDIATE")?;
            }
            return Ok(collect(&self.connection, statement, sql)?);
        }
        let is_read_only = self
            .transaction
            .as_ref()
            .is_some_and(|open| open.is_read_only);
        if is_read_only {
            let message = "cannot write in a read-only transaction";
            return Err(RunError::Sql(SqlError::read_only(message)));
        }
        self.shared
            .instance()
            .check_writable()
            .map_err(RunError::Sql)?;
        let expanded = statement.expanded_sql().unwrap_or(text);
        if let Some(transaction) = &mut self.transaction {
            open_transaction(&self.connection, transaction, "BEGIN IMMEDIATE")?;
            let outcome = collect(&self.connection, statement, sql)?;
            transaction.has_written = true;
            transaction.writes.push(expanded);
            return Ok(outcome);
        }
        self.connection.execute_batch("BEGIN IMMEDIATE")?;
        let outcome = match collect(&self.connection, statement, sql) {
            Ok(outcome) => outcome,
            Err(error) => {
                self.connection.execute_batch("ROLLBACK")?;
                return Err(error.into());
            }
        };
        self.commit_writes(vec![expanded]).map_err(RunError::Sql)?;
        Ok(outcome)
    }

    /// Runs SAVEPOINT or RELEASE, which are logged together with the writes around them.
    fn run_savepoint(&mut self, text: &str) -> Result<Outcome, RunError> {
        let is_writable = self.shared.instance().check_writable().is_ok();
        let Some(transaction) = &mut self.transaction else {
            let message = "savepoints can only be used in transactions";
            return Err(RunError::Sql(SqlError::new("25P01", message)));
        };
        let begin = if is_writable {
            "BEGIN IMMEDIATE"
        } else {
            "BEGIN"
        };
        open_transaction(&self.connection, transaction, begin)?;
        self.connection.execute_batch(text)?;
        transaction.writes.push(text.to_owned());
        Ok(Outcome::without_rows(first_word(text)))
    }

    /// Commits the writes and appends them to the log, or rolls back if the instance is fenced or
    /// has changed its role.
    ///
    /// The check, the commit and the append happen under the instance's lock, so that nothing
    /// commits after the answer to a fence call.
    fn commit_writes(&mut self, writes: Vec<String>) -> Result<(), SqlError> {
        if writes.is_empty() {
            self.connection.execute_batch("COMMIT")?;
            return Ok(());
        }
        let (connection, file_number) = (&self.connection, self.file_number);
        let position = self.shared.change(|instance| {
            instance.check_writable()?;
            if instance.file().0 != file_number {
                return Err(SqlError::read_only(
                    "the instance changed its role meanwhile",
                ));
            }
            connection.execute_batch("COMMIT")?;
            Ok(instance.append(writes))
        });
        match position {
            Ok(position) => {
                self.last_commit = position;
                Ok(())
            }
            Err(error) => {
                self.connection.execute_batch("ROLLBACK")?;
                Err(error)
            }
        }
    }

    /// Reopens the database file if the instance has replaced it, unless a transaction has begun.
    fn refresh(&mut self) -> Result<(), SqlError> {
        if self
            .transaction
            .as_ref()
            .is_some_and(|open| open.is_begun_in_sqlite)
        {
            return Ok(());
        }
        let (file_number, path) = self.shared.instance().file();
        if file_number != self.file_number {
            self.connection = open_file(&path)?;
            self.file_number = file_number;
        }
        Ok(())
    }
}

enum RunError {
    Busy,
    Sql(SqlError),
}

impl From<rusqlite::Error> for RunError {
    fn from(error: rusqlite::Error) -> Self {
        let is_lock = error.sqlite_error().is_some_and(|failure| {
            failure.code == ErrorCode::DatabaseBusy
                && failure.extended_code != rusqlite::ffi::SQLITE_BUSY_SNAPSHOT
        });
        if is_lock {
            Self::Busy
        } else {
            Self::Sql(error.into())
        }
    }
}

/// Begins a transaction in `SQLite` unless one has begun.
fn open_transaction(
    connection: &Connection,
    transaction: &mut Transaction,
    begin: &str,
) -> rusqlite::Result<()> {
    if !transaction.is_begun_in_sqlite {
        connection.execute_batch(begin)?;
        transaction.is_begun_in_sqlite = true;
    }
    Ok(())
}

fn is_savepoint(sql: &str) -> bool {
    matches!(first_word(sql).as_str(), "SAVEPOINT" | "RELEASE")
}

fn bind(statement: &mut Statement<'_>, parameters: &[Value]) -> rusqlite::Result<()> {
    for (index, value) in parameters.iter().enumerate() {
        let parameter_index = statement.parameter_index(&format!("${}", index + 1))?;
        if let Some(parameter_index) = parameter_index {
            statement.raw_bind_parameter(parameter_index, value)?;
        }
    }
    Ok(())
}

fn collect(
    connection: &Connection,
    mut statement: Statement<'_>,
    sql: &str,
) -> rusqlite::Result<Outcome> {
    let declared: Vec<(String, Option<String>)> = declared_columns(&statement);
    let mut rows = Vec::new();
    let mut found = statement.raw_query();
    while let Some(row) = found.next()? {
        let values: Result<Vec<Value>, _> =
            (0..declared.len()).map(|index| row.get(index)).collect();
        rows.push(values?);
    }
    drop(found);
    let columns = inference::column_types(declared, rows.first());
    let changed = connection.changes();
    Ok(Outcome {
        tag: command_tag(sql, rows.len() as u64, columns.is_empty(), changed),
        columns,
        rows,
    })
}

fn result_columns(mut statement: Statement<'_>) -> Vec<Column> {
    let declared = declared_columns(&statement);
    if !statement.readonly() || declared.is_empty() {
        return inference::column_types(declared, None);
    }
    // An expression has no declared type, so its type is taken from its value with null parameters.
    let mut found = statement.raw_query();
    let row: Option<Vec<Value>> = match found.next() {
        Ok(Some(row)) => (0..declared.len())
            .map(|index| row.get(index))
            .collect::<Result<_, _>>()
            .ok(),
        _ => None,
    };
    drop(found);
    inference::column_types(declared, row.as_ref())
}

fn declared_columns(statement: &Statement<'_>) -> Vec<(String, Option<String>)> {
    statement
        .columns()
        .map(|column| {
            (
                column.name().to_owned(),
                column.decl_type().map(str::to_owned),
            )
        })
        .collect()
}

fn command_tag(sql: &str, row_count: u64, has_no_columns: bool, changed: u64) -> String {
    let word = first_word(sql);
    match word.as_str() {
        "INSERT" => format!(
            "INSERT 0 {}",
            if has_no_columns { changed } else { row_count }
        ),
        "UPDATE" | "DELETE" => {
            format!(
                "{word} {}",
                if has_no_columns { changed } else { row_count }
            )
        }
        "SELECT" | "WITH" | "VALUES" | "TABLE" => format!("SELECT {row_count}"),
        "CREATE" | "DROP" | "ALTER" => {
            let second = sql.split_ascii_whitespace().nth(1).unwrap_or_default();
            format!("{word} {}", second.to_ascii_uppercase())
        }
        _ => word,
    }
}
