//! Logs JSON lines to standard error or, for a host that must not block on its log, to standard
//! output through a separate thread.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::log_pipe::LogPipe;

const FILTER_VARIABLE: &str = "JUJUBEHOLD_LOG";

/// Starts the logger on standard error. Further starts have no effect.
pub(crate) fn start() {
    let _ = builder().try_init();
}

/// Starts the logger on standard output, written by a separate thread. Further starts have no
/// effect.
pub(crate) fn start_nonblocking() {
    let pipe = Target::Pipe(Box::new(LogPipe::start()));
    let _ = builder().target(pipe).try_init();
}

fn builder() -> Builder {
    let mut builder = Builder::from_env(Env::new().filter_or(FILTER_VARIABLE, "info"));
    builder.format(|out, record| writeln!(out, "{}", format_line(record, now_ms())));
    builder
}

/// Formats a record as a JSON object of its time in milliseconds since the Unix epoch, its level,
/// target and message, and its key-value pairs.
fn format_line(record: &Record<'_>, ts_ms: u64) -> String {
    let mut fields = Map::new();
    fields.insert("ts_ms".into(), json!(ts_ms));
    fields.insert("level".into(), json!(record.level().as_str()));
    fields.insert("target".into(), json!(record.target()));
    fields.insert("message".into(), json!(record.args().to_string()));
    // A pair that cannot be read is left out; the rest of the record is still logged.
    let _ = record.key_values().visit(&mut FieldVisitor(&mut fields));
    serde_json::Value::Object(fields).to_string()
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}

struct FieldVisitor<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for FieldVisitor<'_> {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        let value = if let Some(number) = value.to_u64() {
            json!(number)
        } else if let Some(number) = value.to_i64() {
            json!(number)
        } else if let Some(flag) = value.to_bool() {
            json!(flag)
        } else {
            json!(value.to_string())
        };
        // A pair with the name of a common field is renamed, so that neither value is lost.
        let name = if self.0.contains_key(key.as_str()) {
            format!("field_{key}")
        } else {
            key.to_string()
        };
        self.0.insert(name, value);
        Ok(())
    }
}
