//! The text format of the table of leads, in the store and in datagrams between hosts.
//!
//! One line per service: its name, its primary, during a change the host that makes the change and
//! the kind of the change, and the primary's term if it is known. Earlier versions take a kind that
//! they do not know for `lost`. The format is short because the table
//! is read often. All names are words, so that no name has a separator of the format.

use std::fmt::Write;

use bytes::Bytes;
use jujubehold_core::lead_table::{Lead, LeadChange, LeadTable};
use jujubehold_core::store_version::{StoreEra, StoreVersion};

use crate::prelude::*;

const PLANNED: &str = "planned";
const LOST: &str = "lost";
const AWAITING: &str = "awaiting";
const TERM_PREFIX: &str = "term=";

/// Formats a table.
pub(crate) fn format_leads(table: &LeadTable) -> Bytes {
    let mut text = String::new();
    for (service, lead) in &table.leads {
        // Writing to a string can't fail.
        let _ = write!(text, "{service} {}", lead.primary);
        if let Some(change) = &lead.change {
            let _ = write!(text, " {} {}", change.by, kind(change));
        }
        // Without its term, a primary with such an id would be read as a term.
        let looks_like_term = lead.primary.starts_with(TERM_PREFIX);
        if lead.term > 0 || looks_like_term {
            let _ = write!(text, " {TERM_PREFIX}{}", lead.term);
        }
        text.push('\n');
    }
    Bytes::from(text)
}

fn kind(change: &LeadChange) -> &'static str {
    if change.awaits_instance {
        AWAITING
    } else if change.is_planned {
        PLANNED
    } else {
        LOST
    }
}

/// Parses the table as of `version`; `None` if it is invalid.
pub(crate) fn parse_leads(value: &[u8], version: StoreVersion) -> Option<LeadTable> {
    let text = std::str::from_utf8(value).ok()?;
    let mut table = LeadTable {
        era: version.era,
        revision: version.revision,
        ..LeadTable::default()
    };
    for line in text.lines() {
        let (service, lead) = parse_lead(line)?;
        table.leads.insert(service, lead);
    }
    Some(table)
}

/// Formats the era in which a table was written.
pub(crate) fn format_era(era: StoreEra) -> Bytes {
    Bytes::from(era.to_string())
}

/// Parses the era in which a table was written; 0 if it is invalid.
pub(crate) fn parse_era(value: &[u8]) -> StoreEra {
    let text = std::str::from_utf8(value).ok();
    text.and_then(|text| text.parse().ok()).unwrap_or(0)
}

fn parse_lead(line: &str) -> Option<(ServiceId, Lead)> {
    let (line, term) = match line.rsplit_once(' ') {
        Some((rest, last)) if last.starts_with(TERM_PREFIX) => {
            (rest, last[TERM_PREFIX.len()..].parse().ok()?)
        }
        Some(_) | None => (line, 0),
    };
    let mut words = line.split(' ');
    let service = words.next()?.into();
    let primary = words.next()?.into();
    let change = match words.next() {
        Some(by) => {
            let kind = words.next()?;
            Some(LeadChange {
                by: by.into(),
                is_planned: kind == PLANNED,
                awaits_instance: kind == AWAITING,
            })
        }
        None => None,
    };
    let lead = Lead {
        primary,
        term,
        change,
    };
    Some((service, lead))
}
