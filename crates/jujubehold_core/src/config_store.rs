//! The configuration that this host has in force.
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
    /// One service's accepted configuration, parsed and as it was submitted.
    pub struct ConfigRecord {
        /// The parsed configuration.
        pub config: ServiceConfig,
        /// Its text, which is handed on as it is.
        pub text: SmolStr,
    }

    /// What became of a record that was offered.
    pub enum Offer {
        /// It is in force now.
        Applied,
        /// The same record is in force already.
        Same,
        /// A higher generation is in force and stays.
        Older {
            /// The generation in force.
            in_force: Generation,
        },
        /// Another text of the same generation was in force; this one outranks it and is in force
        /// now.
        Outranks,
        /// Another text of the same generation is in force and outranks this one.
        Differs,
    }

    /// What the platform's service shows for a key.
    pub struct PlatformValue {
        /// The record; `None` when the key is lost or its text can't be parsed.
        pub record: Option<ConfigRecord>,
        /// The key's revision, on which a change compares; 0 when there is no such key.
        pub mod_revision: i64,
    }

    /// What follows from what the platform's service shows.
    pub enum PlatformAction {
        /// Nothing; it shows what is in force.
        Nothing,
        /// The record shown is in force now and is to be handed on.
        HandOn,
        /// The service lost what is in force: write it back, comparing on the revision shown.
        Restore {
            /// The text to write.
            text: SmolStr,
            /// The revision to compare on.
            mod_revision: i64,
        },
    }

    /// What two hosts lack of each other.
    #[derive(Default)]
    pub struct Difference {
        /// Services of which the other shows a newer version.
        pub wanted: Vec<ServiceId>,
        /// Services of which this host has a newer version.
        pub offered: Vec<ServiceId>,
    }

    /// What came of a submission.
    pub enum SubmitOutcome {
        /// The change stands.
        Accepted,
        /// Another change stands in its place.
        Conflict {
            /// The generation that stands.
            generation: Generation,
            /// The revision that stands.
            mod_revision: i64,
        },
        /// The write surely did not take effect and may be sent again.
        NotWritten,
    }

    /// A record in force, with its version, which is worked out once.
    struct InForce {
        record: ConfigRecord,
        version: ConfigVersion,
    }

    /// The records in force, by service.
    ///
    /// A record takes its text twice over and some 500 bytes for each instance; 4,200 services of
    /// three instances are about 10 MB.
    #[derive(Default)]
    pub struct ConfigStore {
        records: BTreeMap<ServiceId, InForce>,
    }
}

impl ConfigStore {
    /// Takes in a record, from the platform's service or from a peer.
    pub fn offer(&mut self, record: ConfigRecord) -> Offer {
        let version = record.version();
        let known = self.records.get(&record.config.service);
        let offer = known.map_or(Offer::Applied, |in_force| in_force.judge(&record, version));
        if matches!(offer, Offer::Applied | Offer::Outranks) {
            let service = record.config.service.clone();
            self.records.insert(service, InForce { record, version });
        }
        offer
    }

    /// Takes in what the platform's service shows for a service.
    ///
    /// A generation lower than the one in force, or a lost key, is a service that was restored to
    /// an older state. Two texts of one generation can only stand after such a loss; the one that
    /// outranks the other stays, here and there, so that nothing that won is ever undone.
    pub fn on_platform(&mut self, service: &ServiceId, shown: PlatformValue) -> PlatformAction {
        let mod_revision = shown.mod_revision;
        if let Some(record) = shown.record {
            match self.offer(record) {
                Offer::Applied | Offer::Outranks => return PlatformAction::HandOn,
                Offer::Same => return PlatformAction::Nothing,
                Offer::Older { .. } | Offer::Differs => {}
            }
        }
        match self.records.get(service) {
            Some(in_force) => PlatformAction::Restore {
                text: in_force.record.text.clone(),
                mod_revision,
            },
            None => PlatformAction::Nothing,
        }
    }

    /// The record in force for a service.
    pub fn record(&self, service: &str) -> Option<&ConfigRecord> {
        self.records.get(service).map(|in_force| &in_force.record)
    }

    /// The configuration in force for a service.
    pub fn config(&self, service: &str) -> Option<&ServiceConfig> {
        self.record(service).map(|record| &record.config)
    }

    /// All records in force.
    pub fn records(&self) -> impl Iterator<Item = &ConfigRecord> {
        self.records.values().map(|in_force| &in_force.record)
    }

    /// The version in force for a service.
    pub fn version(&self, service: &str) -> ConfigVersion {
        self.records
            .get(service)
            .map(|in_force| in_force.version)
            .unwrap_or_default()
    }

    /// The versions in force, which is all that an exchange needs to state.
    pub fn versions(&self) -> BTreeMap<ServiceId, ConfigVersion> {
        self.records
            .iter()
            .map(|(service, in_force)| (service.clone(), in_force.version))
            .collect()
    }

    /// Compares with the versions that a peer states.
    pub fn compare(&self, theirs: &BTreeMap<ServiceId, ConfigVersion>) -> Difference {
        let wanted = theirs
            .iter()
            .filter(|(service, version)| self.version(service).order(version).is_lt())
            .map(|(service, _)| service.clone())
            .collect();
        let offered = self
            .records
            .iter()
            .filter(|(service, in_force)| {
                let stated = theirs.get(*service).copied().unwrap_or_default();
                in_force.version.order(&stated).is_gt()
            })
            .map(|(service, _)| service.clone())
            .collect();
        Difference { wanted, offered }
    }
}

impl ConfigRecord {
    /// The record's version, by its text.
    pub fn version(&self) -> ConfigVersion {
        ConfigVersion::of(self.config.generation, &self.text)
    }
}

impl InForce {
    fn judge(&self, offered: &ConfigRecord, version: ConfigVersion) -> Offer {
        let in_force = self.version.generation;
        if version.generation > in_force {
            return Offer::Applied;
        }
        if version.generation < in_force {
            return Offer::Older { in_force };
        }
        // Texts of one digest are told apart by themselves.
        let by_text = offered.text.cmp(&self.record.text);
        match version.digest.cmp(&self.version.digest).then(by_text) {
            Ordering::Greater => Offer::Outranks,
            Ordering::Equal => Offer::Same,
            Ordering::Less => Offer::Differs,
        }
    }
}

/// How many submissions a value names: its own and those before it.
const SUBMISSIONS_NAMED: usize = 8;

const SUBMISSION_PREFIX: &str = "# submission ";

/// The line that marks a submission, so that its own write can be told from another's.
pub fn nonce_line(nonce: Nonce) -> String {
    format!("{SUBMISSION_PREFIX}{nonce:016x}")
}

/// The value to write for a submission: its nonce line, those of the value that it replaces, and
/// the text.
///
/// The earlier lines let a submitter whose answer was lost find its change also after the next
/// one was built on it.
pub fn mark_submission(nonce: Nonce, text: &str, replaced_text: &str) -> String {
    let earlier = replaced_text
        .lines()
        .filter(|line| line.starts_with(SUBMISSION_PREFIX))
        .take(SUBMISSIONS_NAMED - 1);
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

/// Tells from a value that was read back after a lost answer whether the submission took effect.
///
/// `expected_revision` is the revision that the write compared on.
pub fn submit_outcome(
    nonce: Nonce,
    expected_revision: i64,
    shown_text: &str,
    shown_generation: Generation,
    shown_revision: i64,
) -> SubmitOutcome {
    let line = nonce_line(nonce);
    if shown_text.lines().any(|shown| shown == line) {
        SubmitOutcome::Accepted
    } else if shown_revision == expected_revision {
        SubmitOutcome::NotWritten
    } else {
        SubmitOutcome::Conflict {
            generation: shown_generation,
            mod_revision: shown_revision,
        }
    }
}
