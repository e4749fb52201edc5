//! The settings of a caller's session: those of the proxy, and those that are applied to each
//! upstream connection.

use std::collections::BTreeMap;
use std::fmt::Write;

use jujubehold_core::prelude::*;
use jujubehold_core::request_name::{RequestName, parse_name};
use jujubehold_core::session_floor::FloorKnowledge;
use jujubehold_core::session_token::verify_token;
use jujubehold_pg::SessionCommand;
use smol_str::SmolStr;

use super::session::Session;
use crate::shared::Shared;

/// The setting that holds the session's token.
pub(crate) const SESSION_SETTING: &str = "jujubehold.session";

/// The setting that holds the request name of the next write.
pub(crate) const REQUEST_SETTING: &str = "jujubehold.request";

/// The most settings that a session may apply to upstream connections.
const MAX_SETTINGS: usize = 32;

/// Refused settings, which change the privileges of statements or how their text is parsed.
const REFUSED_SETTINGS: &[&str] = &[
    "role",
    "session_authorization",
    "session",
    "standard_conforming_strings",
];

/// Ignored settings, whose only possible value was already sent to the caller, or which only
/// describe the caller.
const IGNORED_SETTINGS: &[&str] = &["application_name", "client_encoding", "names"];

/// The settings in a session's startup message.
#[derive(Debug, Default)]
pub(crate) struct StartupSettings {
    /// The floor of the session's token, if it has one.
    pub(crate) floor: Option<Floor>,
    /// The name of the session's first write, if it has one.
    pub(crate) request: Option<RequestName>,
    /// The settings for each upstream connection, as SQL values.
    pub(crate) upstream_settings: UpstreamSettings,
}

/// Settings that are applied to each upstream connection that the session uses.
#[derive(Debug, Default)]
pub(crate) struct UpstreamSettings {
    values: BTreeMap<SmolStr, SmolStr>,
    commands: SmolStr,
}

/// The answer to a session command.
#[derive(Debug)]
pub(crate) enum CommandReply {
    /// The value that a `SHOW` returns.
    Shown {
        /// The setting's name, which is also the column's.
        name: SmolStr,
        /// The setting's value.
        value: String,
    },
    /// The command tag of another command.
    Done(&'static str),
}

/// Why a session command is refused, and what the caller can do.
#[derive(Debug)]
pub(crate) struct CommandRefusal {
    pub(crate) reason: RefusalReason,
    pub(crate) hint: &'static str,
}

impl StartupSettings {
    /// Applies a startup parameter.
    pub(crate) fn apply(
        &mut self,
        shared: &Shared,
        service: &ServiceId,
        name: &str,
        value: &str,
    ) -> Result<(), RefusalReason> {
        let name = name.to_ascii_lowercase();
        if name == SESSION_SETTING {
            self.floor = parse_token(shared, service, value)?;
            return Ok(());
        }
        if name == REQUEST_SETTING {
            let request = parse_name(value).ok_or(RefusalReason::ProtocolViolation)?;
            self.request = Some(request);
            return Ok(());
        }
        let quoted = format!("'{}'", value.replace('\'', "''"));
        self.upstream_settings
            .set(&name, &quoted)
            .map_err(|refusal| refusal.reason)
    }
}

impl UpstreamSettings {
    /// Returns the commands that apply the settings; empty if there are none.
    pub(crate) fn commands(&self) -> &SmolStr {
        &self.commands
    }

    fn set(&mut self, name: &str, sql_value: &str) -> Result<(), CommandRefusal> {
        if IGNORED_SETTINGS.contains(&name) {
            return Ok(());
        }
        let has_valid_name = name
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || byte == b'_' || byte == b'.');
        let is_refused = REFUSED_SETTINGS.contains(&name)
            || name.starts_with("transaction")
            || name.starts_with("jujubehold.")
            || !has_valid_name
            || sql_value.is_empty()
            || sql_value.contains('\\');
        if is_refused || self.values.len() >= MAX_SETTINGS {
            return Err(CommandRefusal {
                reason: RefusalReason::UnsupportedSessionState,
                hint: "Set it for the user or the database in the upstream.",
            });
        }
        self.values.insert(name.into(), sql_value.into());
        self.rebuild_commands();
        Ok(())
    }

    fn reset(&mut self, name: &str) {
        if name == "all" {
            self.values.clear();
        } else {
            self.values.remove(name);
        }
        self.rebuild_commands();
    }

    fn rebuild_commands(&mut self) {
        let mut commands = String::new();
        for (name, value) in &self.values {
            let _ = write!(commands, "SET {name} = {value};");
        }
        self.commands = commands.into();
    }
}

impl Session {
    /// Runs a session command.
    pub(crate) fn run_command(&mut self, sql: &str) -> Result<CommandReply, CommandRefusal> {
        let Some(command) = SessionCommand::parse(sql) else {
            return Err(CommandRefusal {
                reason: RefusalReason::UnsupportedSessionState,
                hint: "Use SET name = value, SHOW name or RESET name.",
            });
        };
        match command {
            SessionCommand::Show(name) if name == SESSION_SETTING => Ok(CommandReply::Shown {
                name,
                value: self.token(),
            }),
            SessionCommand::Show(name) if name == REQUEST_SETTING => Ok(CommandReply::Shown {
                name,
                value: self.request.as_deref().unwrap_or_default().to_owned(),
            }),
            SessionCommand::Show(_) => Err(CommandRefusal {
                reason: RefusalReason::UnsupportedSessionState,
                hint: "There is no such setting.",
            }),
            SessionCommand::Set { name, value, .. } if name == SESSION_SETTING => {
                self.apply_token(&value).map_err(|reason| CommandRefusal {
                    reason,
                    hint: "Use the token that was given out for this service.",
                })?;
                Ok(CommandReply::Done("SET"))
            }
            SessionCommand::Reset(name) if name == SESSION_SETTING => {
                self.floor = FloorKnowledge::UnknownBefore(self.shared.clock.now());
                Ok(CommandReply::Done("RESET"))
            }
            SessionCommand::Set { .. } | SessionCommand::Reset(_) if self.pinned.is_some() => {
                Err(CommandRefusal {
                    reason: RefusalReason::UnsupportedSessionState,
                    hint: "Use SET LOCAL within a transaction, or SET before it.",
                })
            }
            SessionCommand::Set { name, value, .. } if name == REQUEST_SETTING => {
                self.request = parse_request_name(&value)?;
                Ok(CommandReply::Done("SET"))
            }
            SessionCommand::Reset(name) if name == REQUEST_SETTING => {
                self.request = None;
                Ok(CommandReply::Done("RESET"))
            }
            SessionCommand::Set {
                name, sql_value, ..
            } => {
                self.upstream_settings.set(&name, &sql_value)?;
                Ok(CommandReply::Done("SET"))
            }
            SessionCommand::Reset(name) => {
                self.upstream_settings.reset(&name);
                Ok(CommandReply::Done("RESET"))
            }
        }
    }

    // A token never lowers the floor below the session's own writes.
    fn apply_token(&mut self, token: &str) -> Result<(), RefusalReason> {
        let Some(floor) = parse_token(&self.shared, &self.service, token)? else {
            if !matches!(self.floor, FloorKnowledge::Floor(_)) {
                self.floor = FloorKnowledge::NoWrites;
            }
            return Ok(());
        };
        self.raise_floor(floor.term, floor.position);
        Ok(())
    }
}

// An empty name removes the name.
fn parse_request_name(text: &str) -> Result<Option<RequestName>, CommandRefusal> {
    if text.is_empty() {
        return Ok(None);
    }
    let name = parse_name(text).ok_or(CommandRefusal {
        reason: RefusalReason::ProtocolViolation,
        hint: "Name a request by 1 to 128 letters, digits and signs of ASCII, without quotes, \
               backslashes and blanks.",
    })?;
    Ok(Some(name))
}

// An empty token denotes a session that has written nothing yet.
fn parse_token(
    shared: &Shared,
    service: &ServiceId,
    token: &str,
) -> Result<Option<Floor>, RefusalReason> {
    if token.is_empty() {
        return Ok(None);
    }
    verify_token(shared.settings.token_key.as_bytes(), service, token)
        .map(Some)
        .map_err(|_| RefusalReason::TokenInvalid)
}
