//! Classifies statements by how the stand-in executes them.

use std::net::SocketAddr;
use std::time::Duration;

use jujubehold_core::prelude::{Nonce, Position, Term};

/// The kind of a statement, which decides how it is executed.
#[derive(Debug, Clone, PartialEq)]
pub(crate) enum StatementKind {
    /// An empty statement.
    Empty,
    /// Begins a transaction.
    Begin { is_read_only: bool },
    /// Commits a transaction.
    Commit,
    /// Rolls back a transaction.
    Rollback,
    /// Rolls back to a savepoint.
    RollbackTo,
    /// Sets, resets or discards session state; contains the command tag.
    Set(&'static str),
    /// Removes all prepared statements from within a block of code.
    DeallocateAll,
    /// Shows a session setting.
    Show(String),
    /// Holds a slot for the duration, like `pg_sleep`.
    Sleep(Duration),
    /// A call of the group interface.
    Group(GroupCall),
    /// Any other statement, which `SQLite` runs.
    Sql,
}

/// A call of the group interface, as specified in docs/notes/group-interface.md.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) enum GroupCall {
    Status,
    Fence {
        term: Term,
        nonce: Nonce,
    },
    Promote {
        term: Term,
        nonce: Nonce,
    },
    Follow {
        term: Term,
        address: SocketAddr,
    },
    CatchUp {
        address: SocketAddr,
        position: Position,
    },
    Wait {
        term: Term,
        position: Position,
        wait: Duration,
    },
    Log {
        term: Term,
        after: Position,
        wait: Duration,
    },
}

impl StatementKind {
    pub(crate) fn classify(sql: &str) -> Self {
        let text = sql.trim().trim_end_matches(';').trim_end();
        let lower = text.to_ascii_lowercase();
        let mut words = lower.split_ascii_whitespace();
        let first = words.next().unwrap_or_default();
        let second = words.next().unwrap_or_default();
        match first {
            "" => Self::Empty,
            "begin" => Self::Begin {
                is_read_only: lower.contains("read only"),
            },
            "start" if second == "transaction" => Self::Begin {
                is_read_only: lower.contains("read only"),
            },
            "commit" | "end" => Self::Commit,
            "rollback" if second == "to" => Self::RollbackTo,
            "rollback" | "abort" => Self::Rollback,
            "set" => Self::Set("SET"),
            "reset" => Self::Set("RESET"),
            "discard" => Self::Set("DISCARD ALL"),
            "deallocate" => Self::Set("DEALLOCATE"),
            "do" if lower.contains("deallocate all") => Self::DeallocateAll,
            "show" => Self::Show(second.to_owned()),
            "select" => Self::classify_select(text, &lower),
            _ => Self::Sql,
        }
    }

    fn classify_select(text: &str, lower: &str) -> Self {
        let call = lower["select".len()..].trim_start();
        if let Some(arguments) = call.strip_prefix("pg_sleep(") {
            let seconds = arguments
                .trim_end_matches(')')
                .trim()
                .parse()
                .unwrap_or(0.0);
            return Self::Sleep(Duration::try_from_secs_f64(seconds).unwrap_or_default());
        }
        if call.starts_with("group_") {
            let call = text["select".len()..].trim_start();
            return GroupCall::parse(call).map_or(Self::Sql, Self::Group);
        }
        Self::Sql
    }
}

impl GroupCall {
    fn parse(call: &str) -> Option<Self> {
        let (name, arguments) = call.split_once('(')?;
        let arguments: Vec<&str> = arguments
            .trim_end()
            .strip_suffix(')')?
            .split(',')
            .map(|argument| argument.trim().trim_matches('\''))
            .filter(|argument| !argument.is_empty())
            .collect();
        let wait = |text: &str| text.parse().ok().map(Duration::from_millis);
        match (
            name.trim().to_ascii_lowercase().as_str(),
            arguments.as_slice(),
        ) {
            ("group_status", []) => Some(Self::Status),
            ("group_fence", [term, nonce]) => Some(Self::Fence {
                term: term.parse().ok()?,
                nonce: nonce.parse().ok()?,
            }),
            ("group_promote", [term, nonce]) => Some(Self::Promote {
                term: term.parse().ok()?,
                nonce: nonce.parse().ok()?,
            }),
            ("group_follow", [term, address]) => Some(Self::Follow {
                term: term.parse().ok()?,
                address: address.parse().ok()?,
            }),
            ("group_catch_up", [address, position]) => Some(Self::CatchUp {
                address: address.parse().ok()?,
                position: position.parse().ok()?,
            }),
            ("group_wait", [term, position, wait_ms]) => Some(Self::Wait {
                term: term.parse().ok()?,
                position: position.parse().ok()?,
                wait: wait(wait_ms)?,
            }),
            ("group_log", [term, after, wait_ms]) => Some(Self::Log {
                term: term.parse().ok()?,
                after: after.parse().ok()?,
                wait: wait(wait_ms)?,
            }),
            _ => None,
        }
    }
}
