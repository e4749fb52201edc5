//! `jujubehold explain`: what happened to one request, out of hosts' logs.

use getopts::Options;
use serde_json::{Map, Value};

use super::read_file;
use crate::cli_error::CliError;
use crate::exit_status::ExitStatus;
use crate::options::{CommandHelp, Parsed};

const HELP: CommandHelp = CommandHelp {
    usage: "explain ID FILE...",
    about: "Gathers the lines about request ID out of hosts' logs (one JSON object a line, each \
            FILE one\nhost's), in the order of time, with what each host believed around them: \
            changes of primary,\nthe store lost and regained, readiness, starts and stops. A line \
            may stand behind other words,\nas where a collector writes the time and the host first.",
    exits: &[ExitStatus::Ok, ExitStatus::Usage, ExitStatus::BadInput],
    example: "jujubehold explain 64ea948b51e890e9 host-1.log host-2.log",
};

/// How far around a request's lines the hosts' own lines are shown.
const DEFAULT_AROUND_MS: u64 = 2_000;
/// What every line has, which is shown apart from the other fields.
const COMMON_FIELDS: [&str; 4] = ["ts_ms", "level", "target", "message"];

/// One line of a log.
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

// Lines of other programs in the same file are passed over.
fn parse(file: &str, line: &str) -> Option<LogLine> {
    let object = line.get(line.find('{')?..)?;
    let Value::Object(fields) = serde_json::from_str(object).ok()? else {
        return None;
    };
    Some(LogLine {
        file: file.to_owned(),
        ts_ms: fields.get("ts_ms")?.as_u64()?,
        fields,
    })
}

fn timeline(id: &str, lines: &[LogLine], around_ms: u64) -> String {
    let is_own = |line: &&LogLine| line.text("request") == id;
    let own: Vec<_> = lines.iter().filter(is_own).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return format!(
            "no line is about request {id}: it went well, or its lines were left out or dropped\n"
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
                Value::String(text) => format!("{name}={text}"),
                _ => format!("{name}={value}"),
            })
            .collect();
        let (file, message) = (&self.file, self.text("message"));
        format!(
            "{marker} {after_ms:>7}  {file}  {message}: {}\n",
            pairs.join(" ")
        )
    }
}
