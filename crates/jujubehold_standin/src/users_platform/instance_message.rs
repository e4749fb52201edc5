//! The messages that an instance receives, read as strictly as the platform's protocol states them.

/// The maximum length of a message with its line end.
const MAX_MESSAGE_BYTES: usize = 1024 * 1024;
/// The end of a message.
const LINE_END: &str = "\r\n";
/// The id of statements that hosts themselves send.
pub(crate) const NO_ID: &str = "-";

/// One message.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum InstanceMessage<'a> {
    /// Opens the connection.
    Start {
        service: &'a str,
        user: &'a str,
        instance: &'a str,
    },
    /// Runs a statement.
    Query {
        id: &'a str,
        /// The log position that the instance must have reached.
        after: Option<&'a str>,
        /// The statement's text without the position.
        text: &'a str,
    },
    /// Closes the connection.
    Terminate,
}

impl InstanceMessage<'_> {
    /// Returns whether this is a statement of a caller that reads, writes or commits.
    pub(crate) fn is_work(&self) -> bool {
        let Self::Query { id, text, .. } = self else {
            return false;
        };
        let word = text.split(' ').next().unwrap_or_default();
        *id != NO_ID && matches!(word, "READ" | "WRITE" | "EXECUTE" | "COMMIT")
    }
}

/// What a statement does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Command<'a> {
    Begin {
        is_read_only: bool,
    },
    Commit,
    Rollback,
    Read {
        item: &'a str,
    },
    Write {
        item: &'a str,
        data: &'a str,
    },
    Set {
        name: &'a str,
        value: &'a str,
    },
    Prepare {
        name: &'a str,
        is_write: bool,
        shape: &'a str,
    },
    Execute {
        name: &'a str,
        /// What follows the name; `None` if nothing does.
        arguments: Option<&'a str>,
    },
    Deallocate {
        name: &'a str,
    },
    Reset,
    Status,
    Pause {
        term: u64,
    },
    Resume,
    StepDown {
        term: u64,
    },
}

/// Returns a message without its line end; `None` if the bytes are not one line of text, or if it is
/// too long.
pub(crate) fn strip_line_end(line: &[u8]) -> Option<&str> {
    let text = std::str::from_utf8(line).ok()?.strip_suffix(LINE_END)?;
    let is_text = !text.chars().any(|character| character < ' ');
    (is_text && line.len() <= MAX_MESSAGE_BYTES).then_some(text)
}

impl<'a> InstanceMessage<'a> {
    /// Parses a message without its line end; `None` if a field is missing, empty or one too many.
    pub(crate) fn parse(message: &'a str) -> Option<Self> {
        let (kind, fields) = split_word(message);
        match kind {
            "START" => {
                let (service, rest) = split_word(fields);
                let (user, instance) = split_word(rest);
                Some(Self::Start {
                    service: word(service)?,
                    user: word(user)?,
                    instance: word(instance)?,
                })
            }
            "QUERY" => {
                let (id, text) = split_word(fields);
                let (after, text) = match text.strip_prefix("AFTER ") {
                    Some(rest) => {
                        let (position, text) = split_word(rest);
                        (Some(word(position)?), text)
                    }
                    None => (None, text),
                };
                let id = word(id)?;
                Some(Self::Query { id, after, text })
            }
            "TERMINATE" if message == kind => Some(Self::Terminate),
            _ => None,
        }
    }
}

impl<'a> Command<'a> {
    /// Parses the text of a statement; `None` if it is none that an instance knows.
    pub(crate) fn parse(text: &'a str) -> Option<Self> {
        let (command, rest) = split_word(text);
        let has_no_fields = text == command;
        match command {
            "BEGIN" if has_no_fields || rest == "READ" => Some(Self::Begin {
                is_read_only: !has_no_fields,
            }),
            "COMMIT" if has_no_fields => Some(Self::Commit),
            "ROLLBACK" if has_no_fields => Some(Self::Rollback),
            "RESET" if has_no_fields => Some(Self::Reset),
            "STATUS" if has_no_fields => Some(Self::Status),
            "RESUME" if has_no_fields => Some(Self::Resume),
            "PAUSE" => rest.parse().ok().map(|term| Self::Pause { term }),
            "STEPDOWN" => rest.parse().ok().map(|term| Self::StepDown { term }),
            "READ" => last_field(rest).map(|item| Self::Read { item }),
            "DEALLOC" => word(rest).map(|name| Self::Deallocate { name }),
            "WRITE" => {
                let (item, data) = split_word(rest);
                word(item).map(|item| Self::Write { item, data })
            }
            "SET" => {
                let (name, value) = split_word(rest);
                let (name, value) = (word(name)?, last_field(value)?);
                Some(Self::Set { name, value })
            }
            "EXECUTE" => {
                let (name, arguments) = split_word(rest);
                let arguments = (rest != name).then_some(arguments);
                word(name).map(|name| Self::Execute { name, arguments })
            }
            "PREPARE" => Self::parse_prepare(rest),
            _ => None,
        }
    }

    /// Returns whether hosts send the command themselves. All others carry the id of a caller.
    pub(crate) fn is_of_hosts(self) -> bool {
        match self {
            Self::Begin { .. }
            | Self::Commit
            | Self::Read { .. }
            | Self::Write { .. }
            | Self::Execute { .. } => false,
            Self::Rollback
            | Self::Set { .. }
            | Self::Prepare { .. }
            | Self::Deallocate { .. }
            | Self::Reset
            | Self::Status
            | Self::Pause { .. }
            | Self::Resume
            | Self::StepDown { .. } => true,
        }
    }

    fn parse_prepare(fields: &'a str) -> Option<Self> {
        let (name, rest) = split_word(fields);
        let (access, shape) = split_word(rest);
        Some(Self::Prepare {
            name: word(name)?,
            is_write: match access {
                "READ" => false,
                "WRITE" => true,
                _ => return None,
            },
            shape: last_field(shape)?,
        })
    }
}

// Splits off the first field. The rest is empty if there is no other one.
fn split_word(text: &str) -> (&str, &str) {
    text.split_once(' ').unwrap_or((text, ""))
}

fn word(field: &str) -> Option<&str> {
    let is_word = !field.is_empty() && !field.contains(' ');
    is_word.then_some(field)
}

fn last_field(field: &str) -> Option<&str> {
    (!field.is_empty()).then_some(field)
}
