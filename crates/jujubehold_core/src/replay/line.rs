//! One line of a trace, cut into words.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use crate::floor::Floor;
use crate::ids::Monotonic;
use crate::instance_status::InstanceStatus;
use crate::replay::TraceFault;

/// An event's line: its time, its verb, and the words and pairs after it.
pub(super) struct TraceLine<'a> {
    pub(super) at: Monotonic,
    pub(super) verb: &'a str,
    words: Vec<&'a str>,
    pairs: BTreeMap<&'a str, &'a str>,
}

impl<'a> TraceLine<'a> {
    pub(super) fn parse(text: &'a str) -> Result<Self, TraceFault> {
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
            return Err(TraceFault::Missing("the event".to_owned()));
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

    pub(super) fn word(&self, index: usize, name: &str) -> Result<&'a str, TraceFault> {
        let word = self.words.get(index).copied();
        word.ok_or_else(|| TraceFault::Missing(name.to_owned()))
    }

    pub(super) fn pair(&self, key: &str) -> Option<&'a str> {
        self.pairs.get(key).copied()
    }

    pub(super) fn needed(&self, key: &str) -> Result<&'a str, TraceFault> {
        self.pair(key)
            .ok_or_else(|| TraceFault::Missing(key.to_owned()))
    }

    pub(super) fn number<T: FromStr>(&self, key: &str) -> Result<T, TraceFault> {
        parse(self.needed(key)?)
    }

    pub(super) fn number_or<T: FromStr>(&self, key: &str, default: T) -> Result<T, TraceFault> {
        self.pair(key).map_or(Ok(default), parse)
    }

    pub(super) fn duration_or(&self, key: &str, default: Duration) -> Result<Duration, TraceFault> {
        match self.pair(key) {
            Some(value) => parse_ms(value),
            None => Ok(default),
        }
    }

    pub(super) fn is_set(&self, key: &str) -> bool {
        self.pair(key) == Some("yes")
    }

    /// The status of `instance`, or `None` when the line says `silent`.
    pub(super) fn status(&self, instance: &str) -> Result<Option<InstanceStatus>, TraceFault> {
        if self.words.contains(&"silent") {
            return Ok(None);
        }
        let log = self.needed("log")?;
        let (fence_term, fence_nonce) = self
            .pair("fence")
            .map_or(Some(("0", "0")), |fence| fence.split_once('/'))
            .ok_or_else(|| TraceFault::Malformed("fence".to_owned()))?;
        let text = format!(
            "instance={instance} role={} term={} received={log} applied={} \
             fence_term={fence_term} fence_nonce={fence_nonce} last_commit=0 \
             open_transactions={} history={}",
            self.pair("role").unwrap_or("replica"),
            self.needed("in_term")?,
            self.pair("applied").unwrap_or(log),
            self.pair("open").unwrap_or("0"),
            self.needed("history")?,
        );
        let status = InstanceStatus::parse(&text);
        status.map(Some).ok_or(TraceFault::Malformed(text))
    }

    /// The floor that the line states as `floor=TERM:POSITION`.
    pub(super) fn floor(&self, service: &str) -> Result<Option<Floor>, TraceFault> {
        let Some(text) = self.pair("floor") else {
            return Ok(None);
        };
        let (term, position) = text
            .split_once(':')
            .ok_or_else(|| TraceFault::Malformed("floor".to_owned()))?;
        Ok(Some(Floor {
            service: service.into(),
            term: parse(term)?,
            position: parse(position)?,
        }))
    }
}

fn parse<T: FromStr>(text: &str) -> Result<T, TraceFault> {
    text.parse()
        .map_err(|_| TraceFault::Malformed(text.to_owned()))
}

// Milliseconds with up to six digits after the point, so that no float rounds a time.
fn parse_ms(text: &str) -> Result<Duration, TraceFault> {
    let (whole, fraction) = text.split_once('.').unwrap_or((text, ""));
    let is_too_fine = fraction.len() > 6;
    if is_too_fine {
        return Err(TraceFault::Malformed(text.to_owned()));
    }
    let below_ms: u64 = parse(&format!("{fraction:0<6}"))?;
    Ok(Duration::from_millis(parse(whole)?) + Duration::from_nanos(below_ms))
}
