//! Errors of statements.

use jujubehold_pg::{ErrorFields, Frame, error_response};

/// An error as it is reported to the caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(crate) struct SqlError {
    pub(crate) sqlstate: &'static str,
    pub(crate) message: String,
}

impl SqlError {
    pub(crate) fn new(sqlstate: &'static str, message: impl Into<String>) -> Self {
        Self {
            sqlstate,
            message: message.into(),
        }
    }

    /// Creates the error for a write that the instance does not accept.
    pub(crate) fn read_only(message: impl Into<String>) -> Self {
        Self::new("25006", message)
    }

    pub(crate) fn canceled() -> Self {
        Self::new("57014", "canceling statement due to user request")
    }

    pub(crate) fn frame(&self, severity: &str) -> Frame {
        error_response(ErrorFields {
            severity: severity.to_owned(),
            sqlstate: self.sqlstate.to_owned(),
            message: self.message.clone(),
            ..ErrorFields::default()
        })
    }
}

impl From<rusqlite::Error> for SqlError {
    fn from(error: rusqlite::Error) -> Self {
        let message = error.to_string();
        let sqlstate = match &error {
            rusqlite::Error::SqliteFailure(failure, _) => match failure.code {
                rusqlite::ErrorCode::ConstraintViolation => constraint_state(failure.extended_code),
                rusqlite::ErrorCode::DatabaseBusy => "40001",
                _ if message.contains("no such table") => "42P01",
                _ if message.contains("no such column") => "42703",
                _ => "42601",
            },
            rusqlite::Error::SqlInputError { msg, .. } if msg.contains("no such table") => "42P01",
            rusqlite::Error::SqlInputError { msg, .. } if msg.contains("no such column") => "42703",
            _ => "42601",
        };
        Self { sqlstate, message }
    }
}

fn constraint_state(extended_code: i32) -> &'static str {
    match extended_code {
        rusqlite::ffi::SQLITE_CONSTRAINT_UNIQUE | rusqlite::ffi::SQLITE_CONSTRAINT_PRIMARYKEY => {
            "23505"
        }
        rusqlite::ffi::SQLITE_CONSTRAINT_NOTNULL => "23502",
        rusqlite::ffi::SQLITE_CONSTRAINT_FOREIGNKEY => "23503",
        rusqlite::ffi::SQLITE_CONSTRAINT_CHECK => "23514",
        _ => "23000",
    }
}
