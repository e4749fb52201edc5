//! The prepared statements of a session.

use std::collections::BTreeMap;

use super::failure::Failure;
use super::kept_bytes::{KeptBytes, entry_bytes};
use crate::pool::Statement;
use crate::protocol::{Access, CallerRequest, ErrorCode, PreparedStatement, RequestKind, Word};

/// The maximum number of prepared statements of one session.
const MAX_PREPARED_STATEMENTS: usize = 1_000;

/// A session's prepared statements, by the names that the caller gave them.
#[derive(Debug, Default)]
pub(crate) struct PreparedStatements {
    statements: BTreeMap<Word, PreparedStatement>,
}

impl PreparedStatements {
    /// Stores a statement under `name`, replacing any earlier one, and counts its bytes in `kept`.
    pub(super) fn prepare(
        &mut self,
        name: &Word,
        statement: &PreparedStatement,
        kept: &mut KeptBytes,
    ) -> Result<(), Failure> {
        if self.statements.len() >= MAX_PREPARED_STATEMENTS && !self.statements.contains_key(name) {
            return Err(Failure::error(
                ErrorCode::TooLarge,
                "too many prepared statements",
            ));
        }
        let earlier = self.statements.get(name);
        let earlier = earlier.map_or(0, |earlier| entry_bytes(name, earlier.shape()));
        kept.replace(earlier, entry_bytes(name, statement.shape()))?;
        self.statements.insert(name.clone(), statement.clone());
        Ok(())
    }

    /// Removes the statement called `name`.
    pub(super) fn deallocate(&mut self, name: &Word, kept: &mut KeptBytes) -> Result<(), Failure> {
        let removed = self.statements.remove(name);
        let removed = removed.ok_or_else(|| unknown_statement(name))?;
        kept.release(entry_bytes(name, removed.shape()));
        Ok(())
    }

    /// Returns the statement that a request runs, and whether it may change data.
    pub(crate) fn resolve(&self, request: &CallerRequest) -> Result<(Statement, Access), Failure> {
        match &request.kind {
            RequestKind::Execute { name, arguments } => {
                let statement = self.statements.get(name);
                let statement = statement.ok_or_else(|| unknown_statement(name))?.clone();
                let access = statement.access();
                let statement = Statement::Prepared {
                    id: request.id.clone(),
                    statement,
                    arguments: arguments.clone(),
                };
                Ok((statement, access))
            }
            RequestKind::Data(access) => Ok((text_statement(request), *access)),
            RequestKind::Begin { .. }
            | RequestKind::Commit
            | RequestKind::Rollback
            | RequestKind::Set { .. }
            | RequestKind::Prepare { .. }
            | RequestKind::Deallocate { .. }
            | RequestKind::Malformed(_) => Err(Failure::error(ErrorCode::Malformed, "out of turn")),
        }
    }
}

/// Creates a statement from the text of a request.
pub(crate) fn text_statement(request: &CallerRequest) -> Statement {
    Statement::Text {
        id: request.id.clone(),
        text: request.text.clone(),
    }
}

fn unknown_statement(name: &Word) -> Failure {
    Failure::error(ErrorCode::UnknownStatement, name.as_str())
}
