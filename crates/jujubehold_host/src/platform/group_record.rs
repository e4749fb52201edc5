//! The record of an attempt to replace a primary, in the platform's service.
//!
//! It keeps hosts from acting at the same time and tells everyone; the fences of the group's
//! instances are what decides. See docs/notes/platform-calls.md.

use std::time::Duration;

use jujubehold_core::failover_event::RecordOutcome;
use jujubehold_core::prelude::*;

use super::kv_client::{KvClient, KvError};

/// Where the platform's service holds the records.
const GROUPS_PREFIX: &str = "/jujubehold/groups/";
/// How often a record is compared and written before it counts as unavailable.
const MAX_TRIES: usize = 3;

/// A record of an attempt.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRecord {
    /// The term that is being started.
    pub term: Term,
    /// What tells this attempt from any other.
    pub nonce: Nonce,
    /// The host that acts.
    pub host: HostId,
}

impl GroupRecord {
    /// Reads a record's text form; `None` when it is malformed.
    pub fn parse(text: &str) -> Option<Self> {
        let mut record = Self {
            term: 0,
            nonce: 0,
            host: HostId::default(),
        };
        for pair in text.split_ascii_whitespace() {
            match pair.split_once('=')? {
                ("term", value) => record.term = value.parse().ok()?,
                ("nonce", value) => record.nonce = value.parse().ok()?,
                ("host", value) => record.host = value.into(),
                // A newer version may state more than this one knows.
                _ => {}
            }
        }
        (record.term > 0).then_some(record)
    }

    /// Writes the record for `service`, unless one of the same or a higher term stands.
    ///
    /// A lost answer is told apart by reading back: the nonce shows whose record stands.
    pub async fn write(
        &self,
        kv: &mut KvClient,
        service: &ServiceId,
        time_limit: Duration,
    ) -> RecordOutcome {
        let write = self.try_write(kv, service);
        match tokio::time::timeout(time_limit, write).await {
            Ok(Ok(outcome)) => outcome,
            Ok(Err(_)) | Err(_) => RecordOutcome::Unavailable,
        }
    }

    async fn try_write(
        &self,
        kv: &mut KvClient,
        service: &ServiceId,
    ) -> Result<RecordOutcome, KvError> {
        let key = format!("{GROUPS_PREFIX}{service}");
        for _ in 0..MAX_TRIES {
            let shown = kv.get(&key).await?;
            let standing = shown
                .as_ref()
                .and_then(|entry| Self::parse(&String::from_utf8_lossy(&entry.value)));
            if let Some(standing) = standing
                && standing.term >= self.term
            {
                return Ok(if standing == *self {
                    RecordOutcome::Written
                } else {
                    RecordOutcome::Lost {
                        term: standing.term,
                    }
                });
            }
            let expected = shown.map_or(0, |entry| entry.mod_revision);
            let value = self.to_string().into_bytes();
            // Neither a lost answer nor a lost comparison says what stands now, so the next turn
            // reads it.
            if let Ok(true) = kv.put_if(&key, expected, value).await {
                return Ok(RecordOutcome::Written);
            }
        }
        Ok(RecordOutcome::Unavailable)
    }
}

impl std::fmt::Display for GroupRecord {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let Self { term, nonce, host } = self;
        write!(f, "term={term} nonce={nonce} host={host}")
    }
}
