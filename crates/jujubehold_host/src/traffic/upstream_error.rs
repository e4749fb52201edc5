//! Verdicts as the errors that a caller sees.

use std::fmt::Write;

use jujubehold_core::prelude::*;
use jujubehold_pg::{ErrorFields, Frame, error_response};

/// What to do about an unknown outcome where nothing better is known.
pub(crate) const CHECK_DATA_HINT: &str = "Look at the data before you ask again.";
/// What to do about the unknown outcome of a named request.
pub(crate) const RETRY_BY_NAME_HINT: &str =
    "Ask again under the same name, at any host: it runs once at the most.";
/// PostgreSQL's unique violation: the record's key is taken.
const ALREADY_RAN_SQLSTATE: &str = "23505";

/// The error that tells a caller that its request was not run, and when to come back.
pub(crate) fn refusal_error(refusal: &Refusal) -> Frame {
    refusal_with_hint(refusal, "The request did not run.")
}

/// The same with a hint of its own.
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

/// The error that tells a caller that its request may have run.
pub(crate) fn unknown_error(reason: UnknownReason, hint: &str) -> Frame {
    unknown_with_severity(reason, "ERROR", hint)
}

/// The error that ends a session in which a request may have run, or half an answer was given.
pub(crate) fn fatal_error(reason: UnknownReason, hint: &str) -> Frame {
    unknown_with_severity(reason, "FATAL", hint)
}

/// The error that tells a caller that its named transaction has committed before.
pub(crate) fn already_ran_error() -> Frame {
    error_response(ErrorFields {
        severity: "ERROR".into(),
        sqlstate: ALREADY_RAN_SQLSTATE.into(),
        message: "the transaction of this name has already run".into(),
        detail: "verdict=ran reason=already_ran".into(),
        hint: "Nothing is left to do under this name.".into(),
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
