//! The text format of a service's replica record in the store.
//!
//! The first line has the term and, if it is known, what the primary had when it took over. Each
//! further line names an instance.

use std::collections::BTreeSet;
use std::fmt::Write;

use bytes::Bytes;
use jujubehold_core::replica_record::ReplicaRecord;

use crate::prelude::*;

/// Formats a record.
pub(super) fn format_replicas(record: &ReplicaRecord) -> Bytes {
    let mut text = record.term.to_string();
    if let Some(start) = record.start {
        // Writing to a string can't fail.
        let _ = write!(text, " {start}");
    }
    text.push('\n');
    for instance in &record.instances {
        text.push_str(instance);
        text.push('\n');
    }
    Bytes::from(text)
}

/// Parses a record; `None` if it is invalid.
pub(super) fn parse_replicas(value: &[u8]) -> Option<ReplicaRecord> {
    let text = std::str::from_utf8(value).ok()?;
    let mut lines = text.lines();
    let mut words = lines.next()?.split(' ');
    let term = words.next()?.parse().ok()?;
    let start = match words.next() {
        Some(position) => Some(parse_position(position)?),
        None => None,
    };
    let instances: BTreeSet<_> = lines.map(InstanceId::from).collect();
    Some(ReplicaRecord {
        term,
        start,
        instances,
    })
}

fn parse_position(text: &str) -> Option<LogPosition> {
    let (term, position) = text.split_once('.')?;
    Some(LogPosition {
        term: term.parse().ok()?,
        position: position.parse().ok()?,
    })
}
