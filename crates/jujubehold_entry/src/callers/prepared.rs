//! The prepared statements of a session.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::failure::Failure;
use crate::pool::Statement;
use crate::protocol::{Access, CallerRequest, ErrorCode, RequestKind};

/// The maximum number of prepared statements of one session, which bounds its memory.
const MAX_PREPARED_STATEMENTS: usize = 1_000;

/// A session's prepared statements, by the names that the caller gave them.
#[derive(Debug, Default)]
pub(crate) struct PreparedStatements {
    statements: BTreeMap<SmolStr, Prepared>,
}

#[derive(Debug)]
struct Prepared {
    access: Access,
    shape: SmolStr,
}

impl PreparedStatements {
    /// Stores a statement under `name`, replacing any earlier one.
    pub(crate) fn prepare(
        &mut self,
        name: &SmolStr,
        access: Access,
        shape: &SmolStr,
    ) -> Result<(), Failure> {
        if self.statements.len() >= MAX_PREPARED_STATEMENTS && !self.statements.contains_key(name) {
            return Err(Failure::error(
                ErrorCode::TooLarge,
                "too many prepared statements",
            ));
        }
        let shape = shape.clone();
        self.statements
            .insert(name.clone(), Prepared { access, shape });
        Ok(())
    }

    /// Removes the statement called `name`.
    pub(crate) fn deallocate(&mut self, name: &SmolStr) -> Result<(), Failure> {
        match self.statements.remove(name) {
            Some(_) => Ok(()),
            None => Err(Failure::error(ErrorCode::UnknownStatement, name)),
        }
    }

    /// Returns the statement that a request runs, and whether it may change data.
    pub(crate) fn resolve(&self, request: &CallerRequest) -> Result<(Statement, Access), Failure> {
        match &request.kind {
            RequestKind::Execute { name, arguments } => {
                let prepared = self
                    .statements
                    .get(name)
                    .ok_or_else(|| Failure::error(ErrorCode::UnknownStatement, name))?;
                let statement = Statement::Prepared {
                    id: request.id.clone(),
                    access: prepared.access,
                    shape: prepared.shape.clone(),
                    arguments: arguments.clone(),
                };
                Ok((statement, prepared.access))
            }
            RequestKind::Data(access) => Ok((text_statement(request), *access)),
            RequestKind::Begin { .. }
            | RequestKind::Commit
            | RequestKind::Rollback
            | RequestKind::Set { .. }
            | RequestKind::Prepare { .. }
            | RequestKind::Deallocate { .. }
            | RequestKind::Malformed => Err(Failure::error(ErrorCode::Malformed, "out of turn")),
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
