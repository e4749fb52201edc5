//! The statements that a session has prepared.

use std::collections::BTreeMap;

use smol_str::SmolStr;

use super::failure::Failure;
use crate::pool::Statement;
use crate::protocol::{Access, CallerRequest, ErrorCode, RequestKind};

/// Statements that one session may have prepared; a bound on its memory.
const MAX_STATEMENTS: usize = 1_000;

/// A session's prepared statements by the caller's names.
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
    /// Keeps a statement under `name`, in place of an earlier one.
    pub(crate) fn prepare(
        &mut self,
        name: &SmolStr,
        access: Access,
        shape: &SmolStr,
    ) -> Result<(), Failure> {
        if self.statements.len() >= MAX_STATEMENTS && !self.statements.contains_key(name) {
            return Err(Failure::told(
                ErrorCode::TooLarge,
                "too many prepared statements",
            ));
        }
        let shape = shape.clone();
        self.statements
            .insert(name.clone(), Prepared { access, shape });
        Ok(())
    }

    /// Forgets the statement under `name`.
    pub(crate) fn deallocate(&mut self, name: &SmolStr) -> Result<(), Failure> {
        match self.statements.remove(name) {
            Some(_) => Ok(()),
            None => Err(Failure::told(ErrorCode::UnknownStatement, name)),
        }
    }

    /// The statement that a request runs, and whether it may change data.
    pub(crate) fn resolve(&self, request: &CallerRequest) -> Result<(Statement, Access), Failure> {
        match &request.kind {
            RequestKind::Execute { name, arguments } => {
                let prepared = self
                    .statements
                    .get(name)
                    .ok_or_else(|| Failure::told(ErrorCode::UnknownStatement, name))?;
                let statement = Statement::Prepared {
                    id: request.id.clone(),
                    access: prepared.access,
                    shape: prepared.shape.clone(),
                    arguments: arguments.clone(),
                };
                Ok((statement, prepared.access))
            }
            RequestKind::Data(access) => Ok((text_of(request), *access)),
            RequestKind::Begin { .. }
            | RequestKind::Commit
            | RequestKind::Rollback
            | RequestKind::Set { .. }
            | RequestKind::Prepare { .. }
            | RequestKind::Deallocate { .. }
            | RequestKind::Malformed => Err(Failure::told(ErrorCode::Malformed, "out of turn")),
        }
    }
}

/// A request's text as a statement.
pub(crate) fn text_of(request: &CallerRequest) -> Statement {
    Statement::Text {
        id: request.id.clone(),
        text: request.text.clone(),
    }
}
