//! Logs as JSON lines, on standard error or, for a host that must never wait for its log, aside on
//! standard output.

use std::io::Write;
use std::time::{SystemTime, UNIX_EPOCH};

use env_logger::{Builder, Env, Target};
use log::Record;
use log::kv::{Error, Key, Value, VisitSource};
use serde_json::{Map, json};

use crate::log_pipe::LogPipe;

const FILTER_VARIABLE: &str = "JUJUBEHOLD_LOG";

/// Starts the logger on standard error; a second start changes nothing.
pub(crate) fn start() {
    let _ = builder().try_init();
}

/// Starts the logger on standard output, written by a thread of its own; a second start changes
/// nothing.
pub(crate) fn start_aside() {
    let pipe = Target::Pipe(Box::new(LogPipe::start()));
    let _ = builder().target(pipe).try_init();
}

fn builder() -> Builder {
    let mut builder = Builder::from_env(Env::new().filter_or(FILTER_VARIABLE, "info"));
    builder.format(|out, record| writeln!(out, "{}", line(record, now_ms())));
    builder
}

/// One record as a JSON object: its time in milliseconds since 1970, level, target and message, and
/// its key-value pairs.
fn line(record: &Record<'_>, ts_ms: u64) -> String {
    let mut fields = Map::new();
    fields.insert("ts_ms".into(), json!(ts_ms));
    fields.insert("level".into(), json!(record.level().as_str()));
    fields.insert("target".into(), json!(record.target()));
    fields.insert("message".into(), json!(record.args().to_string()));
    // A pair that can't be read is left out; the message still counts.
    let _ = record.key_values().visit(&mut Pairs(&mut fields));
    serde_json::Value::Object(fields).to_string()
}

fn now_ms() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |elapsed| {
            u64::try_from(elapsed.as_millis()).unwrap_or(u64::MAX)
        })
}

struct Pairs<'a>(&'a mut Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Pairs<'_> {
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
        // A pair must not hide what every line has, nor be lost.
        let name = if self.0.contains_key(key.as_str()) {
            format!("field_{key}")
        } else {
            key.to_string()
        };
        self.0.insert(name, value);
        Ok(())
    }
}
