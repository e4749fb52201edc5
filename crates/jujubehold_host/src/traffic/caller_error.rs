//! Converts verdicts to the errors that callers receive.

use std::fmt::Write;

use jujubehold_core::prelude::*;
use jujubehold_pg::{ErrorFields, Frame, error_response};

/// The default hint for an unknown outcome.
pub(crate) const CHECK_DATA_HINT: &str = "Look at the data before you ask again.";
/// The hint for the unknown outcome of a named request.
pub(crate) const RETRY_BY_NAME_HINT: &str =
    "Ask again under the same name, at any host: it runs once at the most.";
/// PostgreSQL's code of a unique violation: the record's key already exists.
const ALREADY_RAN_SQLSTATE: &str = "23505";
/// PostgreSQL's code for a name under which no statement is prepared.
pub(crate) const UNKNOWN_STATEMENT_SQLSTATE: &str = "26000";
/// PostgreSQL's code for a name under which a statement is already prepared.
pub(crate) const DUPLICATE_STATEMENT_SQLSTATE: &str = "42P05";

/// Creates the error for a request that was not run, with the time after which to retry.
pub(crate) fn refusal_error(refusal: &Refusal) -> Frame {
    refusal_with_hint(refusal, "The request did not run.")
}

/// Creates the error for a request that was not run, with this hint.
pub(crate) fn refusal_with_hint(refusal: &Refusal, hint: &str) -> Frame {
    let name = refusal.reason.as_str();
    let mut detail = format!("verdict=not_run reason={name}");
    let mut hint = hint.to_owned();
    if let Some(wait) = refusal.retry_after {
        let wait_ms = wait.as_millis();
        let _ = write!(detail, " retry_after_ms={wait_ms}");
        let _ = write!(hint, " Ask again in {wait_ms} ms.");
    }
    error_response(ErrorFields {
        severity: "ERROR".into(),
        sqlstate: refusal.reason.sqlstate().into(),
        message: format!("request refused: {name}"),
        detail,
        hint,
    })
}

/// Creates the error for a request that may have run.
pub(crate) fn unknown_error(reason: UnknownReason, hint: &str) -> Frame {
    unknown_with_severity(reason, "ERROR", hint)
}

/// Creates the error that ends a session in which a request may have run or part of an answer was
/// sent.
pub(crate) fn fatal_error(reason: UnknownReason, hint: &str) -> Frame {
    unknown_with_severity(reason, "FATAL", hint)
}

/// Creates the error for a named transaction that has already committed.
pub(crate) fn already_ran_error() -> Frame {
    error_response(ErrorFields {
        severity: "ERROR".into(),
        sqlstate: ALREADY_RAN_SQLSTATE.into(),
        message: "the transaction of this name has already run".into(),
        detail: "verdict=ran reason=already_ran".into(),
        hint: "Nothing is left to do under this name.".into(),
    })
}

/// Creates the error for a prepared statement that the session does not have.
pub(crate) fn unknown_statement_error(name: &str) -> Frame {
    error_response(ErrorFields {
        severity: "ERROR".into(),
        sqlstate: UNKNOWN_STATEMENT_SQLSTATE.into(),
        message: format!("prepared statement \"{name}\" does not exist"),
        ..ErrorFields::default()
    })
}

fn unknown_with_severity(reason: UnknownReason, severity: &str, hint: &str) -> Frame {
    let name = reason.as_str();
    error_response(ErrorFields {
        severity: severity.into(),
        sqlstate: reason.sqlstate().into(),
        message: format!("it is not known whether the request ran: {name}"),
        detail: format!("verdict=unknown reason={name}"),
        hint: hint.into(),
    })
}
