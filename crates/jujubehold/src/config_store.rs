//! The services' configuration in the platform's key-value service.
//!
//! One key holds one service. A change is a compare-and-swap of that key, and its first line is a
//! comment with a random name of the change and the name of the one before, so that a lost answer
//! can be told apart from a lost write by reading back. See docs/notes/submit.md.

use std::time::{Duration, Instant};

use jujubehold_core::prelude::*;
use jujubehold_settings::{IniFaults, format_service, parse_service};
use jujubehold_wire::kv::KeyValue;
use thiserror::Error;

use crate::exit_status::ExitStatus;
use crate::kv_calls::{KvCallError, KvCalls};
use crate::service_diff::service_differences;

const PREFIX: &str = "/jujubehold/services/";
const CHANGE_MARK: &str = "; change = ";
const AFTER_MARK: &str = " after ";
/// The name that stands for the change before a service's first.
const NO_CHANGE: &str = "none";
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// A service's configuration as it stands in the platform's service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ConfigRecord {
    /// The configuration.
    pub config: ServiceConfig,
    /// The revision of the key at its last change; 0 when the key is not there.
    pub mod_revision: i64,
    /// The name of the change that wrote it.
    pub change: String,
    /// The name of the change before that one.
    pub previous_change: String,
}

/// What became of a submission.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Submitted {
    /// It is in force as this generation.
    Written(Generation),
    /// What was submitted is in force already, as this generation.
    Unchanged(Generation),
}

/// Why the configuration could not be read or changed.
#[derive(Debug, Error)]
pub enum StoreError {
    /// Someone else changed the service first.
    #[error(
        "conflict: {service} is at generation {current}, the file was built on generation \
         {expected}; nothing was written\n{}\nRead the service again with `jujubehold show \
         {service}`, make the change there and submit that.",
        .differences.join("\n")
    )]
    Conflict {
        /// The service.
        service: ServiceId,
        /// The generation that the file was built on.
        expected: Generation,
        /// The generation in force.
        current: Generation,
        /// What differs between the two, one line a key.
        differences: Vec<String>,
    },
    /// It can't be known whether the change was written.
    #[error(
        "unknown: it is not known whether the change of {service} was written ({detail})\nRead \
         the service with `jujubehold show {service}` before submitting again; a second \
         submission of the same file is safe."
    )]
    Unknown {
        /// The service.
        service: ServiceId,
        /// What was seen last.
        detail: String,
    },
    /// Nothing was written.
    #[error("unavailable: {0}; nothing was written")]
    Unavailable(String),
    /// What stands in the platform's service can't be read.
    #[error("what stands in the platform's service holds faults:\n{0}")]
    BadRecord(#[from] IniFaults),
    /// There is no such service.
    #[error("there is no service {0}")]
    NoService(ServiceId),
    /// The service has no such instance.
    #[error("service {service} has no instance {instance}; it has {known}")]
    NoInstance {
        /// The service.
        service: ServiceId,
        /// What was asked for.
        instance: InstanceId,
        /// The instances that it has.
        known: String,
    },
}

impl StoreError {
    /// What a command that meets this error ends with.
    pub fn status(&self) -> ExitStatus {
        match self {
            Self::Conflict { .. } => ExitStatus::Conflict,
            Self::Unknown { .. } => ExitStatus::OutcomeUnknown,
            Self::Unavailable(_) => ExitStatus::Unavailable,
            Self::BadRecord(_) => ExitStatus::BadInput,
            Self::NoService(_) | Self::NoInstance { .. } => ExitStatus::Failed,
        }
    }
}

/// Reads and changes services' configuration.
#[derive(Debug)]
pub struct ConfigStore {
    kv: KvCalls,
    timeout: Duration,
}

impl ConfigStore {
    /// A store behind `kv`, each of whose tasks takes `timeout` at most.
    pub fn new(kv: KvCalls, timeout: Duration) -> Self {
        Self { kv, timeout }
    }

    /// Reads one service; a service that is not there has generation 0.
    ///
    /// # Errors
    /// The platform's service can't be reached, or the record holds faults.
    pub async fn read(&self, service: &ServiceId) -> Result<ConfigRecord, StoreError> {
        let value = self.kv.read(&key(service)).await;
        match value.map_err(|error| StoreError::Unavailable(error.to_string()))? {
            Some(value) => parse_record(&value),
            None => Ok(ConfigRecord {
                config: ServiceConfig {
                    service: service.clone(),
                    ..ServiceConfig::default()
                },
                mod_revision: 0,
                change: NO_CHANGE.into(),
                previous_change: NO_CHANGE.into(),
            }),
        }
    }

    /// Reads every service.
    ///
    /// # Errors
    /// The platform's service can't be reached, or a record holds faults.
    pub async fn read_all(&self) -> Result<Vec<ConfigRecord>, StoreError> {
        let values = self.kv.read_prefix(PREFIX).await;
        let values = values.map_err(|error| StoreError::Unavailable(error.to_string()))?;
        values.iter().map(parse_record).collect()
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
        let key = key(&config.service);
        let deadline = Instant::now() + self.timeout;
        let mut may_have_written = false;
        loop {
            let answer = self
                .kv
                .compare_and_swap(&key, current.mod_revision, &value)
                .await;
            let failure = match answer {
                Ok(true) => return Ok(Submitted::Written(next.generation)),
                // The same change may have been written by a call whose answer was lost.
                Ok(false) => match self.read(&config.service).await {
                    Ok(found) => return settle(config, expected, change, may_have_written, &found),
                    Err(error) => error.to_string(),
                },
                Err(KvCallError::Refused(detail)) if !may_have_written => {
                    return Err(StoreError::Unavailable(detail));
                }
                Err(KvCallError::NotSent(detail)) => detail,
                Err(error) => {
                    may_have_written = true;
                    error.to_string()
                }
            };
            if Instant::now() >= deadline {
                return Err(give_up(config, may_have_written, failure));
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

fn give_up(config: &ServiceConfig, may_have_written: bool, detail: String) -> StoreError {
    if !may_have_written {
        return StoreError::Unavailable(detail);
    }
    StoreError::Unknown {
        service: config.service.clone(),
        detail,
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

fn key(service: &ServiceId) -> String {
    format!("{PREFIX}{service}")
}

fn format_record(config: &ServiceConfig, change: &str, previous: &str) -> String {
    format!(
        "{CHANGE_MARK}{change}{AFTER_MARK}{previous}\n{}",
        format_service(config)
    )
}

fn parse_record(value: &KeyValue) -> Result<ConfigRecord, StoreError> {
    let text = String::from_utf8_lossy(&value.value);
    let config = parse_service(&String::from_utf8_lossy(&value.key), &text)?;
    let names = text
        .lines()
        .next()
        .and_then(|line| line.strip_prefix(CHANGE_MARK))
        .and_then(|line| line.split_once(AFTER_MARK));
    let (change, previous_change) = names.unwrap_or((NO_CHANGE, NO_CHANGE));
    Ok(ConfigRecord {
        config,
        mod_revision: value.mod_revision,
        change: change.to_owned(),
        previous_change: previous_change.to_owned(),
    })
}
