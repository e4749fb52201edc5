//! Reads and changes the services' configuration in the platform's key-value service.
//!
//! Each service has one key. A change is a compare-and-swap of that key. The first line of the
//! value is a comment with the random ID of the change and the ID of the previous change: reading
//! the key back tells a lost answer from a lost write. See docs/notes/submit.md.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_host::platform::{KvClient, KvError, SERVICES_PREFIX, service_key};

use crate::config_record::{ConfigRecord, NO_CHANGE_ID, format_record, parse_record};
use crate::service_diff::service_differences;
use crate::store_error::StoreError;

/// The longest timeout of one call; it is shorter if the whole operation has less time.
const MAX_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// The time between two attempts of the same compare-and-swap.
const SWAP_RETRY_DELAY: Duration = Duration::from_millis(100);

/// The outcome of a submission that did not fail.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum SubmitOutcome {
    /// The configuration was written and is in force as this generation.
    Written(Generation),
    /// The same configuration was already in force, as this generation.
    Unchanged(Generation),
}

/// A client that reads and changes the services' configuration.
#[derive(Debug)]
pub struct ConfigStore {
    addresses: Vec<SocketAddr>,
    timeout: Duration,
}

impl ConfigStore {
    /// Creates a store that calls the platform's key-value service at any of `addresses`, which
    /// must not be empty. Each operation takes about `timeout` at most.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self { addresses, timeout }
    }

    /// Returns a client that connects on its first call.
    fn client(&self) -> KvClient {
        KvClient::with_addresses(&self.addresses, self.timeout.min(MAX_CALL_TIMEOUT))
    }

    /// Reads the record of one service. A service that does not exist has generation 0.
    ///
    /// # Errors
    /// Returns an error if the platform's key-value service is unreachable or the record contains
    /// faults.
    pub async fn read(&self, service: &ServiceId) -> Result<ConfigRecord, StoreError> {
        let value = self.client().get(&service_key(service)).await;
        match value.map_err(unavailable)? {
            Some(value) => Ok(parse_record(&value)?),
            None => Ok(ConfigRecord::absent(service)),
        }
    }

    /// Reads the records of all services.
    ///
    /// # Errors
    /// Returns an error if the platform's key-value service is unreachable or a record contains
    /// faults.
    pub async fn read_all(&self) -> Result<Vec<ConfigRecord>, StoreError> {
        let (values, _) = self
            .client()
            .list(SERVICES_PREFIX)
            .await
            .map_err(unavailable)?;
        Ok(values.iter().map(parse_record).collect::<Result<_, _>>()?)
    }

    /// Writes `config` as the generation after `expected`, with the ID `change_id`.
    ///
    /// # Errors
    /// Returns an error if another change came first, the platform's key-value service is
    /// unreachable, or it is unknown whether the change was written.
    pub async fn submit(
        &self,
        config: &ServiceConfig,
        expected: Generation,
        change_id: &str,
    ) -> Result<SubmitOutcome, StoreError> {
        let current = self.read(&config.service).await?;
        if current.config.generation != expected {
            return Self::resolve_generation_mismatch(config, expected, &current);
        }
        self.replace(&current, config, change_id).await
    }

    /// Applies `edit` to the service's configuration and writes it. If another change comes in
    /// between, that change is kept and `edit` is applied again on top of it, until the timeout has
    /// passed.
    ///
    /// # Errors
    /// Returns the errors of [`ConfigStore::submit`] and of `edit`.
    pub async fn edit(
        &self,
        service: &ServiceId,
        change_id: &str,
        edit: impl Fn(&mut ServiceConfig) -> Result<(), StoreError>,
    ) -> Result<SubmitOutcome, StoreError> {
        let deadline = Instant::now() + self.timeout;
        loop {
            let current = self.read(service).await?;
            if current.mod_revision == 0 {
                return Err(StoreError::NoService(service.clone()));
            }
            let mut config = current.config.clone();
            edit(&mut config)?;
            match self.replace(&current, &config, change_id).await {
                Err(StoreError::Conflict { .. }) if Instant::now() < deadline => {}
                outcome => return outcome,
            }
        }
    }

    async fn replace(
        &self,
        current: &ConfigRecord,
        config: &ServiceConfig,
        change_id: &str,
    ) -> Result<SubmitOutcome, StoreError> {
        let expected = current.config.generation;
        let next = ServiceConfig {
            generation: expected + 1,
            ..config.clone()
        };
        let is_first = current.mod_revision == 0;
        if !is_first && service_differences(&current.config, config).is_empty() {
            return Ok(SubmitOutcome::Unchanged(expected));
        }
        let value = format_record(&next, change_id, &current.change_id);
        let key = service_key(&config.service);
        let deadline = Instant::now() + self.timeout;
        let mut client = self.client();
        let mut may_have_written = false;
        loop {
            let value = value.clone().into_bytes();
            let failure = match client.put_if(&key, current.mod_revision, value).await {
                Ok(true) => return Ok(SubmitOutcome::Written(next.generation)),
                // An earlier call, whose answer was lost, may have written this change.
                Ok(false) => match self.read(&config.service).await {
                    Ok(found) => {
                        return resolve_refused_swap(
                            config,
                            expected,
                            change_id,
                            may_have_written,
                            &found,
                        );
                    }
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
            actix_rt::time::sleep(SWAP_RETRY_DELAY).await;
        }
    }

    fn resolve_generation_mismatch(
        config: &ServiceConfig,
        expected: Generation,
        current: &ConfigRecord,
    ) -> Result<SubmitOutcome, StoreError> {
        let differences = service_differences(&current.config, config);
        // Submitting a file again after its first answer was lost is not a conflict.
        if differences.is_empty() && current.config.generation == expected + 1 {
            return Ok(SubmitOutcome::Unchanged(current.config.generation));
        }
        Err(conflict(config, expected, current))
    }
}

/// Determines from the record in force the outcome of a change whose compare-and-swap was refused.
fn resolve_refused_swap(
    config: &ServiceConfig,
    expected: Generation,
    change_id: &str,
    may_have_written: bool,
    found: &ConfigRecord,
) -> Result<SubmitOutcome, StoreError> {
    if found.change_id == change_id || found.previous_change_id == change_id {
        return Ok(SubmitOutcome::Written(expected + 1));
    }
    // The IDs in the record in force identify the change that followed `expected`, as long as at
    // most one more change came after it.
    let next_change_id = match found.config.generation.checked_sub(expected) {
        Some(1) => found.change_id.as_str(),
        Some(2) => found.previous_change_id.as_str(),
        _ => NO_CHANGE_ID,
    };
    if !may_have_written || next_change_id != NO_CHANGE_ID {
        return Err(conflict(config, expected, found));
    }
    Err(StoreError::Unknown {
        service: config.service.clone(),
        detail: format!(
            "there was no answer, and generation {} is in force now",
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
        differences.push("The contents are the same.".to_owned());
    }
    StoreError::Conflict {
        service: config.service.clone(),
        expected,
        current: found.config.generation,
        differences,
    }
}
