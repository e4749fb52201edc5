//! The record of an attempt to replace a primary, stored in the platform's key-value service.
//!
//! The record keeps hosts from acting at the same time and makes the attempt visible to all; the
//! fences of the group's instances decide which attempt succeeds. See docs/notes/platform-calls.md.

use std::time::Duration;

use jujubehold_core::failover_event::RecordOutcome;
use jujubehold_core::prelude::*;

use super::kv_client::{KvClient, KvError};

/// The prefix of the keys that hold the records.
const GROUPS_PREFIX: &str = "/jujubehold/groups/";
/// The most compare-and-swap attempts before the platform's key-value service counts as
/// unavailable.
const MAX_WRITE_ATTEMPTS: usize = 3;

/// The record of an attempt to replace a primary.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct GroupRecord {
    /// The term that the attempt starts.
    pub term: Term,
    /// Distinguishes this attempt from any other.
    pub nonce: Nonce,
    /// The host that runs the attempt.
    pub host: HostId,
}

impl GroupRecord {
    /// Parses a record's text form; returns `None` if it is malformed.
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
                // A newer version may write fields that this one doesn't know.
                _ => {}
            }
        }
        (record.term > 0).then_some(record)
    }

    /// Writes the record for `service`, unless one of the same or a higher term is stored.
    ///
    /// After a lost answer the record is read back; its nonce shows whether this write took effect.
    pub async fn write(
        &self,
        kv: &mut KvClient,
        service: &ServiceId,
        timeout: Duration,
    ) -> RecordOutcome {
        let write = self.try_write(kv, service);
        match tokio::time::timeout(timeout, write).await {
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
        for _ in 0..MAX_WRITE_ATTEMPTS {
            let current = kv.get(&key).await?;
            let stored = current
                .as_ref()
                .and_then(|entry| Self::parse(&String::from_utf8_lossy(&entry.value)));
            if let Some(stored) = stored
                && stored.term >= self.term
            {
                return Ok(if stored == *self {
                    RecordOutcome::Written
                } else {
                    RecordOutcome::Lost { term: stored.term }
                });
            }
            let expected = current.map_or(0, |entry| entry.mod_revision);
            let value = self.to_string().into_bytes();
            // Neither a lost answer nor a failed comparison shows what is stored now, so the next
            // attempt reads it.
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
