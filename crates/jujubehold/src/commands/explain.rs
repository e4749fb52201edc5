//! `jujubehold explain`: shows what happened to one request, from the hosts' logs.

use getopts::Options;
use serde_json::{Map, Value};

use super::read_file;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "explain ID FILE...",
    about: "Prints the lines about request ID from hosts' logs (one JSON object a line, one FILE for \
            each\nhost), in the order of time, with the state changes that each host logged around \
            them: changes of\nprimary, the store lost and regained, readiness, starts and stops. Text \
            before the JSON object,\nsuch as the time and the host that a collector adds, is skipped.",
    exits: &[ExitStatus::Ok, ExitStatus::Usage, ExitStatus::BadInput],
    example: "jujubehold explain 64ea948b51e890e9 host-1.log host-2.log",
};

/// How far before and after a request's lines the lines that belong to no request are shown, in
/// milliseconds.
const DEFAULT_AROUND_MS: u64 = 2_000;
/// The fields that every line has. They are not repeated among the other fields.
const COMMON_FIELDS: [&str; 4] = ["ts_ms", "level", "target", "message"];

/// A line of a host's log.
struct LogLine {
    file: String,
    ts_ms: u64,
    fields: Map<String, Value>,
}

pub(crate) fn run(arguments: &[String]) -> Result<String, CliError> {
    let mut options = Options::new();
    options.optopt(
        "a",
        "around-ms",
        "how far around the request's lines to look, in milliseconds (2000)",
        "MS",
    );
    let matches = match HELP.parse(options, arguments)? {
        Parsed::Help(text) => return Ok(text),
        Parsed::Run(matches) => matches,
    };
    let [id, files @ ..] = matches.free.as_slice() else {
        return Err(HELP.usage_error("no request is given"));
    };
    if files.is_empty() {
        return Err(HELP.usage_error("no file is given"));
    }
    let expected = "a whole number of milliseconds";
    let around_ms = HELP.value(&matches, "around-ms", DEFAULT_AROUND_MS, expected)?;
    let mut lines = Vec::new();
    for file in files {
        let text = read_file(file)?;
        lines.extend(text.lines().filter_map(|line| parse(file, line)));
    }
    lines.sort_by_key(|line| line.ts_ms);
    Ok(timeline(id, &lines, around_ms))
}

// Returns `None` for lines of other programs in the same file.
fn parse(file: &str, line: &str) -> Option<LogLine> {
    // The text before the object may have braces of its own.
    let mut starts = line.match_indices('{');
    let fields = starts.find_map(|(start, _)| serde_json::from_str(&line[start..]).ok())?;
    let Value::Object(fields) = fields else {
        return None;
    };
    Some(LogLine {
        file: file.to_owned(),
        ts_ms: fields.get("ts_ms")?.as_u64()?,
        fields,
    })
}

fn timeline(id: &str, lines: &[LogLine], around_ms: u64) -> String {
    let is_about_request = |line: &&LogLine| line.text("request") == id;
    let request_lines: Vec<_> = lines.iter().filter(is_about_request).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return format!(
            "no line is about request {id}: it succeeded, or its lines were not logged or were dropped\n"
        );
    };
    let from_ms = first.ts_ms.saturating_sub(around_ms);
    let to_ms = last.ts_ms.saturating_add(around_ms);
    let mut text = format!("request {id}, times in ms after its first line\n");
    for line in lines {
        let is_near = (from_ms..=to_ms).contains(&line.ts_ms);
        let is_about_host = line.fields.get("request").is_none();
        if line.text("request") == id || (is_near && is_about_host) {
            text.push_str(&line.show(first.ts_ms));
        }
    }
    text
}

impl LogLine {
    fn text(&self, field: &str) -> &str {
        self.fields
            .get(field)
            .and_then(Value::as_str)
            .unwrap_or_default()
    }

    fn show(&self, origin_ms: u64) -> String {
        let after_ms = i128::from(self.ts_ms) - i128::from(origin_ms);
        let marker = if self.fields.contains_key("request") {
            '*'
        } else {
            ' '
        };
        let others = self.fields.iter();
        let others = others.filter(|(name, _)| !COMMON_FIELDS.contains(&name.as_str()));
        let pairs: Vec<String> = others
            .map(|(name, value)| match value {
                Value::String(text) => format!("{name}={}", shown_value(text)),
                _ => format!("{name}={value}"),
            })
            .collect();
        let (file, message) = (&self.file, shown_message(self.text("message")));
        format!(
            "{marker} {after_ms:>7}  {file}  {message}: {}\n",
            pairs.join(" ")
        )
    }
}

// Names and errors are text of others, which must not look like other fields or lines.
fn shown_value(text: &str) -> String {
    let is_special = |character: char| {
        character.is_whitespace() || character.is_control() || "=\"".contains(character)
    };
    if text.is_empty() || text.contains(is_special) {
        format!("{text:?}")
    } else {
        text.to_owned()
    }
}

// The text of a message is the program's own, but names may be part of it.
fn shown_message(text: &str) -> String {
    let breaks =
        |character: char| character.is_control() || (character.is_whitespace() && character != ' ');
    if text.contains(breaks) {
        format!("{text:?}")
    } else {
        text.to_owned()
    }
}
