//! The services' configuration in the platform's key-value service.
//!
//! One key holds one service. A change is a compare-and-swap of that key, and its first line is a
//! comment with a random name of the change and the name of the one before, so that a lost answer
//! can be told apart from a lost write by reading back. See docs/notes/submit.md.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_host::platform::{KvClient, KvError, SERVICES_PREFIX, service_key};

use crate::config_record::{ConfigRecord, NO_CHANGE, format_record, parse_record};
use crate::service_diff::service_differences;
use crate::store_error::StoreError;

/// The longest time of one call.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(1);
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Submitted {
    /// It is in force as this generation.
    Written(Generation),
    /// What was submitted is in force already, as this generation.
    Unchanged(Generation),
}

/// Reads and changes services' configuration.
#[derive(Debug)]
pub struct ConfigStore {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl ConfigStore {
    /// A store behind the platform's service at any of `addresses`, of which there must be one.
    /// Each of its tasks takes about `timeout` at most.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self { addresses, timeout }
    }

    /// A client that connects at its first call.
    fn client(&self) -> KvClient {
        KvClient::with_addresses(&self.addresses, self.timeout.min(MAX_CALL_TIMEOUT))
    }

    /// Reads one service; a service that is not there has generation 0.
    ///
    /// # Errors
    /// The platform's service can't be reached, or the record holds faults.
    pub async fn read(&self, service: &ServiceId) -> Result<ConfigRecord, StoreError> {
        let value = self.client().get(&service_key(service)).await;
        match value.map_err(unavailable)? {
            Some(value) => Ok(parse_record(&value)?),
            None => Ok(ConfigRecord::absent(service)),
        }
    }

    /// Reads every service.
    ///
    /// # Errors
    /// The platform's service can't be reached, or a record holds faults.
    pub async fn read_all(&self) -> Result<Vec<ConfigRecord>, StoreError> {
        let (values, _) = self
            .client()
            .list(SERVICES_PREFIX)
            .await
            .map_err(unavailable)?;
        Ok(values.iter().map(parse_record).collect::<Result<_, _>>()?)
    }

    /// Writes `config` as the generation after `expected`, under the name `change`.
    ///
    /// # Errors
    /// Another change came first, the platform's service can't be reached, or it can't be known
    /// whether the change was written.
    pub async fn submit(
        &self,
        config: &ServiceConfig,
        expected: Generation,
        change: &str,
    ) -> Result<Submitted, StoreError> {
        let current = self.read(&config.service).await?;
        if current.config.generation != expected {
            return Self::lost(config, expected, &current);
        }
        self.replace(&current, config, change).await
    }

    /// Applies `edit` to the service's record and writes it; another's change in between is kept,
    /// and `edit` is applied to it anew.
    ///
    /// # Errors
    /// As [`ConfigStore::submit`], and those of `edit`.
    pub async fn edit(
        &self,
        service: &ServiceId,
        change: &str,
        edit: impl Fn(&mut ServiceConfig) -> Result<(), StoreError>,
    ) -> Result<Submitted, StoreError> {
        let deadline = Instant::now() + self.timeout;
        loop {
            let current = self.read(service).await?;
            if current.mod_revision == 0 {
                return Err(StoreError::NoService(service.clone()));
            }
            let mut config = current.config.clone();
            edit(&mut config)?;
            match self.replace(&current, &config, change).await {
                Err(StoreError::Conflict { .. }) if Instant::now() < deadline => {}
                outcome => return outcome,
            }
        }
    }

    async fn replace(
        &self,
        current: &ConfigRecord,
        config: &ServiceConfig,
        change: &str,
    ) -> Result<Submitted, StoreError> {
        let expected = current.config.generation;
        let next = ServiceConfig {
            generation: expected + 1,
            ..config.clone()
        };
        let is_first = current.mod_revision == 0;
        if !is_first && service_differences(&current.config, config).is_empty() {
            return Ok(Submitted::Unchanged(expected));
        }
        let value = format_record(&next, change, &current.change);
        let key = service_key(&config.service);
        let deadline = Instant::now() + self.timeout;
        let mut client = self.client();
        let mut may_have_written = false;
        loop {
            let value = value.clone().into_bytes();
            let failure = match client.put_if(&key, current.mod_revision, value).await {
                Ok(true) => return Ok(Submitted::Written(next.generation)),
                // The same change may have been written by a call whose answer was lost.
                Ok(false) => match self.read(&config.service).await {
                    Ok(found) => return settle(config, expected, change, may_have_written, &found),
                    Err(error) => error.to_string(),
                },
                Err(error) => {
                    may_have_written = true;
                    error.to_string()
                }
            };
            if Instant::now() >= deadline {
                return Err(StoreError::Unknown {
                    service: config.service.clone(),
                    detail: failure,
                });
            }
            actix_rt::time::sleep(RETRY_PAUSE).await;
        }
    }

    fn lost(
        config: &ServiceConfig,
        expected: Generation,
        current: &ConfigRecord,
    ) -> Result<Submitted, StoreError> {
        let differences = service_differences(&current.config, config);
        // A second submission of a file whose first answer was lost is no conflict.
        if differences.is_empty() && current.config.generation == expected + 1 {
            return Ok(Submitted::Unchanged(current.config.generation));
        }
        Err(conflict(config, expected, current))
    }
}

/// Decides by the record in force what became of a change whose swap was refused.
fn settle(
    config: &ServiceConfig,
    expected: Generation,
    change: &str,
    may_have_written: bool,
    found: &ConfigRecord,
) -> Result<Submitted, StoreError> {
    if found.change == change || found.previous_change == change {
        return Ok(Submitted::Written(expected + 1));
    }
    // The names in the record in force tell the change that came after `expected`, as long as no
    // more than one other has followed it.
    let next_change = match found.config.generation.checked_sub(expected) {
        Some(1) => found.change.as_str(),
        Some(2) => found.previous_change.as_str(),
        _ => NO_CHANGE,
    };
    if !may_have_written || next_change != NO_CHANGE {
        return Err(conflict(config, expected, found));
    }
    Err(StoreError::Unknown {
        service: config.service.clone(),
        detail: format!(
            "no answer came, and generation {} stands now",
            found.config.generation
        ),
    })
}

fn unavailable(error: KvError) -> StoreError {
    match error {
        KvError::Unavailable(detail) => StoreError::Unavailable(detail),
    }
}

fn conflict(config: &ServiceConfig, expected: Generation, found: &ConfigRecord) -> StoreError {
    let mut differences = service_differences(&found.config, config);
    if differences.is_empty() {
        differences.push("Both say the same.".to_owned());
    }
    StoreError::Conflict {
        service: config.service.clone(),
        expected,
        current: found.config.generation,
        differences,
    }
}
