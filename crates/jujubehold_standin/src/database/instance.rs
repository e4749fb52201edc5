//! The state of one instance: role, term, fence, log and the applied part of the log.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::{
    InstanceId, InstanceStatus, Nonce, Position, Role, Term, TermHistory,
};
use rusqlite::Connection;

use super::log_entry::LogEntry;
use super::sql_error::SqlError;

/// The instance that a replica pulls its log from, and the term of the replication.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) struct Following {
    pub(crate) term: Term,
    pub(crate) address: SocketAddr,
}

/// The state of an instance. All changes happen under the lock in `Shared`.
#[derive(Debug)]
pub(crate) struct Instance {
    name: InstanceId,
    directory: PathBuf,
    role: Role,
    term: Term,
    fence_term: Term,
    fence_nonce: Nonce,
    history: TermHistory,
    log: Vec<LogEntry>,
    applied: usize,
    following: Option<SocketAddr>,
    pub(crate) apply_lag: Duration,
    /// Incremented whenever the database file is rebuilt, so that connections reopen it.
    file_number: u64,
    apply_connection: Connection,
}

/// Opens a database file with the options that every connection of an instance uses.
pub(crate) fn open_file(path: &std::path::Path) -> rusqlite::Result<Connection> {
    let connection = Connection::open(path)?;
    connection.busy_timeout(Duration::ZERO)?;
    connection.execute_batch("PRAGMA journal_mode=WAL; PRAGMA synchronous=OFF;")?;
    Ok(connection)
}

impl Instance {
    pub(crate) fn open(
        name: InstanceId,
        directory: PathBuf,
        primary: Option<SocketAddr>,
        apply_lag: Duration,
    ) -> rusqlite::Result<Self> {
        let path = file_path(&directory, &name, 0);
        // The log is kept in memory, so a file left by an earlier process has no log.
        for suffix in ["", "-wal", "-shm"] {
            let _ = std::fs::remove_file(format!("{}{suffix}", path.display()));
        }
        let apply_connection = open_file(&path)?;
        let mut history = TermHistory::default();
        history.start_term(1, 0);
        Ok(Self {
            name,
            directory,
            role: if primary.is_some() {
                Role::Replica
            } else {
                Role::Primary
            },
            term: 1,
            fence_term: 0,
            fence_nonce: 0,
            history,
            log: Vec::new(),
            applied: 0,
            following: primary,
            apply_lag,
            file_number: 0,
            apply_connection,
        })
    }

    pub(crate) fn status(&self, last_commit: Position) -> InstanceStatus {
        InstanceStatus {
            instance: self.name.clone(),
            role: self.role,
            term: self.term,
            received: self.received(),
            applied: self.applied as Position,
            fence_term: self.fence_term,
            fence_nonce: self.fence_nonce,
            last_commit,
            open_transactions: 0,
            history: self.history.clone(),
        }
    }

    pub(crate) fn received(&self) -> Position {
        self.log.len() as Position
    }

    pub(crate) fn history(&self) -> &TermHistory {
        &self.history
    }

    /// Returns the highest term that the instance knows of, from its own term and its fence.
    pub(crate) fn highest_known_term(&self) -> Term {
        self.term.max(self.fence_term)
    }

    /// Returns the number and the path of the current database file.
    pub(crate) fn file(&self) -> (u64, PathBuf) {
        (
            self.file_number,
            file_path(&self.directory, &self.name, self.file_number),
        )
    }

    /// Checks whether the instance accepts writes.
    ///
    /// # Errors
    /// Fails if the instance is a replica or is fenced at a term higher than its own.
    pub(crate) fn check_writable(&self) -> Result<(), SqlError> {
        if self.role == Role::Replica {
            return Err(SqlError::read_only("the instance is a replica"));
        }
        if self.fence_term > self.term {
            let message = format!("the instance is fenced at term {}", self.fence_term);
            return Err(SqlError::read_only(message));
        }
        Ok(())
    }

    /// Appends a commit to the log of this primary and returns its position.
    pub(crate) fn append(&mut self, statements: Vec<String>) -> Position {
        let position = self.received() + 1;
        let received_at = Instant::now();
        self.log.push(LogEntry {
            term: self.term,
            position,
            statements,
            received_at,
        });
        self.applied = self.log.len();
        position
    }

    /// Fences the instance at `term` unless it already knows of that term or a higher one.
    pub(crate) fn fence(&mut self, term: Term, nonce: Nonce) {
        if term > self.highest_known_term() {
            self.fence_term = term;
            self.fence_nonce = nonce;
        }
    }

    /// Makes the instance the primary of `term` if it is fenced at exactly this term and nonce.
    pub(crate) fn promote(&mut self, term: Term, nonce: Nonce) -> rusqlite::Result<()> {
        let has_matching_fence = self.fence_term == term && self.fence_nonce == nonce;
        if !has_matching_fence || self.term >= term {
            return Ok(());
        }
        self.apply_up_to(self.log.len())?;
        self.role = Role::Primary;
        self.term = term;
        self.following = None;
        self.history.start_term(term, self.received());
        Ok(())
    }

    /// Replicates from `address` in `term`, unless the instance knows of a higher term or is the
    /// primary of this term.
    pub(crate) fn follow(&mut self, term: Term, address: SocketAddr) -> rusqlite::Result<()> {
        let is_own_primary = self.role == Role::Primary && self.term == term;
        if term < self.highest_known_term() || is_own_primary {
            return Ok(());
        }
        if self.role == Role::Primary {
            // Replacing the file ends the open transactions of the old primary.
            self.rebuild_file()?;
        }
        self.role = Role::Replica;
        self.term = term;
        self.following = Some(address);
        Ok(())
    }

    /// Returns the instance to pull the log from, or `None` for a primary or an instance that is
    /// fenced at a term higher than its own.
    pub(crate) fn following(&self) -> Option<Following> {
        let address = self.following?;
        let is_current = self.role == Role::Replica && self.fence_term <= self.term;
        is_current.then_some(Following {
            term: self.term,
            address,
        })
    }

    /// Returns the entries after `position`, at most `limit` of them.
    pub(crate) fn entries_after(&self, position: Position, limit: usize) -> &[LogEntry] {
        let start = usize::try_from(position)
            .unwrap_or(usize::MAX)
            .min(self.log.len());
        let end = (start + limit).min(self.log.len());
        &self.log[start..end]
    }

    /// Merges a segment of another instance's log: truncates the local entries that are not in its
    /// history, then appends the entries that follow without a gap.
    pub(crate) fn merge_log(
        &mut self,
        history: &TermHistory,
        source_received: Position,
        entries: Vec<LogEntry>,
    ) -> rusqlite::Result<()> {
        let common = self.common_position(history, source_received);
        if common < self.log.len() {
            self.truncate_log(common)?;
        }
        for entry in entries {
            if entry.position == self.received() + 1 {
                self.log.push(entry);
            }
        }
        self.adopt_history(history);
        Ok(())
    }

    /// Applies the entries that are due and returns when the next entry is due.
    pub(crate) fn apply_due(&mut self, now: Instant) -> rusqlite::Result<Option<Instant>> {
        while let Some(entry) = self.log.get(self.applied) {
            let due_at = entry.received_at + self.apply_lag;
            if due_at > now {
                return Ok(Some(due_at));
            }
            self.apply_up_to(self.applied + 1)?;
        }
        Ok(None)
    }

    /// Returns the last position at which both logs contain the same entry. A position and its term
    /// identify an entry, because a term has only one primary.
    fn common_position(&self, history: &TermHistory, source_received: Position) -> usize {
        let longest = usize::try_from(source_received)
            .unwrap_or(usize::MAX)
            .min(self.log.len());
        (0..longest)
            .rev()
            .find(|index| {
                let entry = &self.log[*index];
                term_at(history, entry.position) == entry.term
            })
            .map_or(0, |index| index + 1)
    }

    fn truncate_log(&mut self, length: usize) -> rusqlite::Result<()> {
        self.log.truncate(length);
        if self.applied > length {
            self.applied = length;
            self.rebuild_file()?;
        }
        Ok(())
    }

    fn adopt_history(&mut self, history: &TermHistory) {
        let received = self.received();
        self.history = TermHistory::default();
        for (term, start) in history.iter().filter(|(_, start)| *start <= received) {
            self.history.start_term(term, start);
        }
    }

    fn rebuild_file(&mut self) -> rusqlite::Result<()> {
        self.file_number += 1;
        self.apply_connection = open_file(&self.file().1)?;
        let length = std::mem::take(&mut self.applied);
        self.apply_up_to(length)
    }

    fn apply_up_to(&mut self, length: usize) -> rusqlite::Result<()> {
        for entry in &self.log[self.applied.min(length)..length] {
            let transaction = self.apply_connection.transaction()?;
            for statement in &entry.statements {
                // A statement may return rows, which `execute` would reject.
                let mut prepared = transaction.prepare(statement)?;
                let mut rows = prepared.raw_query();
                while rows.next()?.is_some() {}
            }
            transaction.commit()?;
            self.applied += 1;
        }
        Ok(())
    }
}

fn file_path(directory: &std::path::Path, name: &str, file_number: u64) -> PathBuf {
    directory.join(format!("{name}-{file_number}.db"))
}

/// Returns the term that `position` belongs to in `history`.
fn term_at(history: &TermHistory, position: Position) -> Term {
    history
        .iter()
        .filter(|(_, start)| *start < position)
        .map(|(term, _)| term)
        .max()
        .unwrap_or(0)
}
