//! The service configurations that are current on this host.
//!
//! See docs/notes/configuration-revisions.md.

use std::cmp::Ordering;
use std::collections::BTreeMap;

use smol_str::SmolStr;

use crate::config_version::ConfigVersion;
use crate::ids::{Generation, Nonce, ServiceId};
use crate::service_config::ServiceConfig;
use crate::value_type;

value_type! {
    /// The accepted configuration of one service, both parsed and as submitted.
    pub struct ConfigRecord {
        /// The parsed configuration.
        pub config: ServiceConfig,
        /// The submitted text, which is passed on to peers unchanged.
        pub text: SmolStr,
    }

    /// The result of merging a record into a [`ConfigStore`].
    pub enum MergeOutcome {
        /// The record is now current: no record, or one of a lower generation, was current before.
        Applied,
        /// The same record was already current.
        Unchanged,
        /// The record is ignored, because one of a higher generation is current.
        Stale {
            /// The current generation.
            current: Generation,
        },
        /// The record replaced one of the same generation with a different text, because it sorts
        /// higher.
        WonTie,
        /// The record is ignored: the current one has the same generation and a different text, and
        /// sorts higher.
        LostTie,
    }

    /// The value that the platform's key-value service returned for a key.
    pub struct PlatformValue {
        /// The record; `None` when the key is missing or its text can't be parsed.
        pub record: Option<ConfigRecord>,
        /// The key's revision, used for the compare-and-swap of a change; 0 when there is no such
        /// key.
        pub mod_revision: i64,
    }

    /// What to do after a value was read from the platform's key-value service.
    pub enum PlatformAction {
        /// Nothing: the platform's key-value service and this host agree.
        Nothing,
        /// Relay the record that was read, which is now current, to other hosts.
        Relay,
        /// Write the current record back, because the platform's key-value service lost it.
        Restore {
            /// The text to write.
            text: SmolStr,
            /// The revision on which the write compares.
            mod_revision: i64,
        },
    }

    /// The services on which two hosts hold different versions.
    #[derive(Default)]
    pub struct VersionDifference {
        /// Services of which the peer has a newer version.
        pub wanted: Vec<ServiceId>,
        /// Services of which this host has a newer version.
        pub offered: Vec<ServiceId>,
    }

    /// The outcome of a submission.
    pub enum SubmitOutcome {
        /// The change was written.
        Accepted,
        /// Another change was written instead.
        Conflict {
            /// The generation of that change.
            generation: Generation,
            /// The revision of that change.
            mod_revision: i64,
        },
        /// The write did not take effect and may be sent again.
        NotWritten,
    }

    /// A current record with its version, which is computed once.
    struct CurrentRecord {
        record: ConfigRecord,
        version: ConfigVersion,
    }

    /// The current records, by service.
    ///
    /// A record takes twice the size of its text and some 500 bytes for each instance; 4,200
    /// services of three instances are about 10 MB.
    #[derive(Default)]
    pub struct ConfigStore {
        records: BTreeMap<ServiceId, CurrentRecord>,
    }
}

impl ConfigStore {
    /// Merges a record that came from the platform's key-value service or from a peer.
    pub fn merge(&mut self, record: ConfigRecord) -> MergeOutcome {
        let version = record.version();
        let known = self.records.get(&record.config.service);
        let outcome = known.map_or(MergeOutcome::Applied, |current| {
            current.merge_outcome(&record, version)
        });
        if matches!(outcome, MergeOutcome::Applied | MergeOutcome::WonTie) {
            let service = record.config.service.clone();
            self.records
                .insert(service, CurrentRecord { record, version });
        }
        outcome
    }

    /// Merges the value that the platform's key-value service returned for a service's key.
    ///
    /// A missing key, or a generation lower than the current one, means that the platform's
    /// key-value service was restored to an older state. Only such a loss can produce two texts of
    /// one generation; the one that sorts higher is then kept on the hosts and in the platform's
    /// key-value service, so that a change that won is never undone.
    pub fn on_platform_value(
        &mut self,
        service: &ServiceId,
        value: PlatformValue,
    ) -> PlatformAction {
        let mod_revision = value.mod_revision;
        if let Some(record) = value.record {
            match self.merge(record) {
                MergeOutcome::Applied | MergeOutcome::WonTie => return PlatformAction::Relay,
                MergeOutcome::Unchanged => return PlatformAction::Nothing,
                MergeOutcome::Stale { .. } | MergeOutcome::LostTie => {}
            }
        }
        match self.records.get(service) {
            Some(current) => PlatformAction::Restore {
                text: current.record.text.clone(),
                mod_revision,
            },
            None => PlatformAction::Nothing,
        }
    }

    /// Returns the current record of a service.
    pub fn record(&self, service: &str) -> Option<&ConfigRecord> {
        self.records.get(service).map(|current| &current.record)
    }

    /// Returns the current configuration of a service.
    pub fn config(&self, service: &str) -> Option<&ServiceConfig> {
        self.record(service).map(|record| &record.config)
    }

    /// Returns all current records.
    pub fn records(&self) -> impl Iterator<Item = &ConfigRecord> {
        self.records.values().map(|current| &current.record)
    }

    /// Returns the current version of a service.
    pub fn version(&self, service: &str) -> ConfigVersion {
        self.records
            .get(service)
            .map(|current| current.version)
            .unwrap_or_default()
    }

    /// Returns the current versions, which are all that an exchange needs to send.
    pub fn versions(&self) -> BTreeMap<ServiceId, ConfigVersion> {
        self.records
            .iter()
            .map(|(service, current)| (service.clone(), current.version))
            .collect()
    }

    /// Compares the current versions with those that a peer sent.
    pub fn compare(&self, peer_versions: &BTreeMap<ServiceId, ConfigVersion>) -> VersionDifference {
        let wanted = peer_versions
            .iter()
            .filter(|(service, version)| self.version(service).order(version).is_lt())
            .map(|(service, _)| service.clone())
            .collect();
        let offered = self
            .records
            .iter()
            .filter(|(service, current)| {
                let peer_version = peer_versions.get(*service).copied().unwrap_or_default();
                current.version.order(&peer_version).is_gt()
            })
            .map(|(service, _)| service.clone())
            .collect();
        VersionDifference { wanted, offered }
    }
}

impl ConfigRecord {
    /// Returns the record's version, computed from its text.
    pub fn version(&self) -> ConfigVersion {
        ConfigVersion::of(self.config.generation, &self.text)
    }
}

impl CurrentRecord {
    fn merge_outcome(&self, offered: &ConfigRecord, version: ConfigVersion) -> MergeOutcome {
        let current = self.version.generation;
        if version.generation > current {
            return MergeOutcome::Applied;
        }
        if version.generation < current {
            return MergeOutcome::Stale { current };
        }
        // Texts with equal digests are ordered by the texts themselves.
        let by_text = offered.text.cmp(&self.record.text);
        match version.digest.cmp(&self.version.digest).then(by_text) {
            Ordering::Greater => MergeOutcome::WonTie,
            Ordering::Equal => MergeOutcome::Unchanged,
            Ordering::Less => MergeOutcome::LostTie,
        }
    }
}

/// The most nonce lines that a value holds: its own submission's and those of earlier ones.
const MAX_NONCE_LINES: usize = 8;

const SUBMISSION_PREFIX: &str = "# submission ";

/// Returns the line that identifies a submission, so that a submitter can tell its own write from
/// another's.
pub fn nonce_line(nonce: Nonce) -> String {
    format!("{SUBMISSION_PREFIX}{nonce:016x}")
}

/// Returns the value to write for a submission: its nonce line, the nonce lines of the value that
/// it replaces, and the text.
///
/// The earlier lines let a submitter that did not receive its answer find its change even after a
/// later one was built on it.
pub fn mark_submission(nonce: Nonce, text: &str, replaced_text: &str) -> String {
    let earlier = replaced_text
        .lines()
        .filter(|line| line.starts_with(SUBMISSION_PREFIX))
        .take(MAX_NONCE_LINES - 1);
    let body = text
        .lines()
        .filter(|line| !line.starts_with(SUBMISSION_PREFIX));
    let own = nonce_line(nonce);
    let mut value = String::with_capacity(text.len() + 256);
    for line in std::iter::once(own.as_str()).chain(earlier).chain(body) {
        value.push_str(line);
        value.push('\n');
    }
    value
}

/// Determines from a value that was read back after a lost answer whether the submission took
/// effect.
///
/// `expected_revision` is the revision on which the write compared.
pub fn submit_outcome(
    nonce: Nonce,
    expected_revision: i64,
    read_text: &str,
    read_generation: Generation,
    read_revision: i64,
) -> SubmitOutcome {
    let line = nonce_line(nonce);
    if read_text.lines().any(|read_line| read_line == line) {
        SubmitOutcome::Accepted
    } else if read_revision == expected_revision {
        SubmitOutcome::NotWritten
    } else {
        SubmitOutcome::Conflict {
            generation: read_generation,
            mod_revision: read_revision,
        }
    }
}
