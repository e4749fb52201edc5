//! The parser of one line of a trace.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use crate::floor::Floor;
use crate::ids::Monotonic;
use crate::instance_status::InstanceStatus;
use crate::replay::TraceErrorKind;

/// An event's line: its time, its verb, its positional words and its `key=value` pairs.
pub(super) struct TraceLine<'a> {
    pub(super) at: Monotonic,
    pub(super) verb: &'a str,
    words: Vec<&'a str>,
    pairs: BTreeMap<&'a str, &'a str>,
}

impl<'a> TraceLine<'a> {
    pub(super) fn parse(text: &'a str) -> Result<Self, TraceErrorKind> {
        let mut words = Vec::new();
        let mut pairs = BTreeMap::new();
        for word in text.split_ascii_whitespace() {
            match word.split_once('=') {
                Some((key, value)) => {
                    pairs.insert(key, value);
                }
                None => words.push(word),
            }
        }
        if words.is_empty() {
            return Err(TraceErrorKind::Missing("event".to_owned()));
        }
        let verb = words.remove(0);
        let mut line = Self {
            at: Monotonic::ZERO,
            verb,
            words,
            pairs,
        };
        line.at = line.duration_or("at_ms", Duration::ZERO)?;
        Ok(line)
    }

    pub(super) fn words(&self) -> &[&'a str] {
        &self.words
    }

    pub(super) fn word(&self, index: usize, name: &str) -> Result<&'a str, TraceErrorKind> {
        let word = self.words.get(index).copied();
        word.ok_or_else(|| TraceErrorKind::Missing(name.to_owned()))
    }

    pub(super) fn pair(&self, key: &str) -> Option<&'a str> {
        self.pairs.get(key).copied()
    }

    pub(super) fn required(&self, key: &str) -> Result<&'a str, TraceErrorKind> {
        self.pair(key)
            .ok_or_else(|| TraceErrorKind::Missing(key.to_owned()))
    }

    pub(super) fn number<T: FromStr>(&self, key: &str) -> Result<T, TraceErrorKind> {
        parse(self.required(key)?)
    }

    pub(super) fn number_or<T: FromStr>(&self, key: &str, default: T) -> Result<T, TraceErrorKind> {
        self.pair(key).map_or(Ok(default), parse)
    }

    pub(super) fn duration_or(
        &self,
        key: &str,
        default: Duration,
    ) -> Result<Duration, TraceErrorKind> {
        match self.pair(key) {
            Some(value) => parse_ms(value),
            None => Ok(default),
        }
    }

    pub(super) fn is_set(&self, key: &str) -> bool {
        self.pair(key) == Some("yes")
    }

    /// Parses the status of `instance`; `None` when the line contains `silent`.
    pub(super) fn status(&self, instance: &str) -> Result<Option<InstanceStatus>, TraceErrorKind> {
        if self.words.contains(&"silent") {
            return Ok(None);
        }
        let log = self.required("log")?;
        let (fence_term, fence_nonce) = self
            .pair("fence")
            .map_or(Some(("0", "0")), |fence| fence.split_once('/'))
            .ok_or_else(|| TraceErrorKind::Malformed("fence".to_owned()))?;
        let text = format!(
            "instance={instance} role={} term={} received={log} applied={} \
             fence_term={fence_term} fence_nonce={fence_nonce} last_commit=0 \
             open_transactions={} history={}",
            self.pair("role").unwrap_or("replica"),
            self.required("in_term")?,
            self.pair("applied").unwrap_or(log),
            self.pair("open").unwrap_or("0"),
            self.required("history")?,
        );
        let status = InstanceStatus::parse(&text);
        status.map(Some).ok_or(TraceErrorKind::Malformed(text))
    }

    /// Parses the floor that the line states as `floor=TERM:POSITION`.
    pub(super) fn floor(&self, service: &str) -> Result<Option<Floor>, TraceErrorKind> {
        let Some(text) = self.pair("floor") else {
            return Ok(None);
        };
        let (term, position) = text
            .split_once(':')
            .ok_or_else(|| TraceErrorKind::Malformed("floor".to_owned()))?;
        Ok(Some(Floor {
            service: service.into(),
            term: parse(term)?,
            position: parse(position)?,
        }))
    }
}

fn parse<T: FromStr>(text: &str) -> Result<T, TraceErrorKind> {
    text.parse()
        .map_err(|_| TraceErrorKind::Malformed(text.to_owned()))
}

// Parses milliseconds with up to six decimal places, without a float that would round the time.
fn parse_ms(text: &str) -> Result<Duration, TraceErrorKind> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let is_too_fine = fraction.len() > 6;
    if is_too_fine {
        return Err(TraceErrorKind::Malformed(text.to_owned()));
    }
    let below_ms: u64 = parse(&format!("{fraction:0<6}"))?;
    Ok(Duration::from_millis(parse(whole)?) + Duration::from_nanos(below_ms))
}
