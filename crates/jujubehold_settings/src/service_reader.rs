//! Parsing and validation of a service's configuration.

use std::collections::BTreeMap;

use jujubehold_core::prelude::*;
use smol_str::SmolStr;

use crate::host_settings_reader::required;
use crate::ini_fault::IniFaults;
use crate::ini_reader::IniReader;
use crate::ini_section::IniSection;
use crate::known_keys::{INSTANCE_KEYS, SERVICE_KEYS, SERVICE_SECTIONS};

const DEFAULT_CONNECTIONS_PER_INSTANCE: u32 = 20;
const MAX_CONNECTIONS_PER_INSTANCE: u32 = 10_000;
const MAX_SLOTS: u32 = 10_000;
const MAX_QUEUED_REQUESTS: u32 = 1_000_000;
const MAX_READ_AGE_MS: u64 = 86_400_000;
const MIN_STATEMENT_TIMEOUT_MS: u64 = 10;
const MAX_STATEMENT_TIMEOUT_MS: u64 = 3_600_000;
/// The form of a caller's verifier, the same as in PostgreSQL.
const VERIFIER_FORM: &str = "SCRAM-SHA-256$ITERATIONS:SALT$STORED_KEY:SERVER_KEY";

/// Parses a service's configuration from `text`; `file` names its source in faults.
///
/// # Errors
/// Returns every fault with its section, its key and what to write instead.
pub fn parse_service(file: &str, text: &str) -> Result<ServiceConfig, IniFaults> {
    let mut reader = IniReader::parse(file, text)?;
    let mut config = ServiceConfig::default();
    let mut section = reader.take_section("service");
    read_service(&mut reader, &mut section, &mut config);
    let instances = read_instances(&mut reader);
    check_preferred_primary(&mut reader, &section, &config, &instances);
    reader.finish_section(section, SERVICE_KEYS);
    if instances.is_empty() {
        let advice = "write an [instance NAME] section for each";
        reader.fault("service", "", "the service has no instances", advice);
    }
    // Instances with faults are left out here; `finish` then rejects the whole text.
    config.instances = instances
        .into_iter()
        .filter_map(|(name, instance)| Some((name, instance?)))
        .collect();
    config.callers = read_callers(&mut reader);
    reader.finish(SERVICE_SECTIONS)?;
    Ok(config)
}

fn read_service(reader: &mut IniReader, s: &mut IniSection, config: &mut ServiceConfig) {
    config.service = required(reader, s, "name", IniReader::name).unwrap_or_default();
    config.generation = reader.number(s, "generation", 0, 0..=u64::MAX);
    config.confirm = match reader.text(s, "confirm").as_deref() {
        None | Some("replica") => Confirm::Replica,
        Some("none") => Confirm::None,
        Some(unknown) => {
            let problem = format!("{unknown:?} is not a way to confirm");
            reader.fault_in(s, "confirm", &problem, "write none or replica");
            Confirm::Replica
        }
    };
    config.read_age = reader.duration_ms_in(s, "read_age_ms", config.read_age, 0..=MAX_READ_AGE_MS);
    config.slots = reader.number(s, "slots", config.slots, 1..=MAX_SLOTS);
    config.queue = reader.number(s, "queue", config.queue, 0..=MAX_QUEUED_REQUESTS);
    config.statement_timeout = reader.duration_ms_in(
        s,
        "statement_timeout_ms",
        config.statement_timeout,
        MIN_STATEMENT_TIMEOUT_MS..=MAX_STATEMENT_TIMEOUT_MS,
    );
    config.preferred_primary = reader.name(s, "preferred_primary");
}

/// Reads all instances by name; the value is `None` for an instance without a valid address.
fn read_instances(reader: &mut IniReader) -> BTreeMap<InstanceId, Option<InstanceConfig>> {
    let mut instances = BTreeMap::new();
    for (name, mut section) in reader.take_sections_of_kind("instance") {
        reader.check_section_name(&section, &name);
        let instance = read_instance(reader, &mut section);
        reader.finish_section(section, INSTANCE_KEYS);
        instances.insert(name, instance);
    }
    instances
}

fn read_instance(reader: &mut IniReader, s: &mut IniSection) -> Option<InstanceConfig> {
    let address = required(reader, s, "address", IniReader::address);
    let state = match reader.text(s, "state").as_deref() {
        None | Some("active") => InstanceState::Active,
        Some("leaving") => InstanceState::Leaving,
        Some(unknown) => {
            let problem = format!("{unknown:?} is not a state");
            reader.fault_in(s, "state", &problem, "write active or leaving");
            InstanceState::Active
        }
    };
    let domain = reader.name(s, "domain").unwrap_or_else(|| "local".into());
    let region = reader.name(s, "region").unwrap_or_else(|| "local".into());
    let connections = reader.number(
        s,
        "connections",
        DEFAULT_CONNECTIONS_PER_INSTANCE,
        1..=MAX_CONNECTIONS_PER_INSTANCE,
    );
    Some(InstanceConfig {
        address: address?,
        domain,
        region,
        state,
        connections,
    })
}

fn read_callers(reader: &mut IniReader) -> BTreeMap<SmolStr, SmolStr> {
    let mut section = reader.take_section("callers");
    let mut callers = BTreeMap::new();
    for (name, verifier) in reader.take_entries(&mut section) {
        if !is_verifier(&verifier) {
            // The fault omits the value because it may be a password.
            let advice = format!("write {VERIFIER_FORM}; the operators' library makes one");
            reader.fault_in(
                &section,
                &name,
                "the value is not a SCRAM verifier",
                &advice,
            );
        }
        callers.insert(name.into(), verifier.into());
    }
    callers
}

fn is_verifier(text: &str) -> bool {
    let Some(rest) = text.strip_prefix("SCRAM-SHA-256$") else {
        return false;
    };
    let Some((salt, keys)) = rest.split_once('$') else {
        return false;
    };
    let has_iterations = salt
        .split_once(':')
        .is_some_and(|(count, salt)| count.parse::<u32>().is_ok() && !salt.is_empty());
    let has_keys = keys
        .split_once(':')
        .is_some_and(|(stored, server)| !stored.is_empty() && !server.is_empty());
    has_iterations && has_keys
}

fn check_preferred_primary(
    reader: &mut IniReader,
    section: &IniSection,
    config: &ServiceConfig,
    instances: &BTreeMap<InstanceId, Option<InstanceConfig>>,
) {
    let Some(primary) = &config.preferred_primary else {
        return;
    };
    let Some(instance) = instances.get(primary) else {
        let problem = format!("there is no instance {primary}");
        let names: Vec<&str> = instances.keys().map(SmolStr::as_str).collect();
        let advice = format!("name one of: {}", names.join(", "));
        reader.fault_in(section, "preferred_primary", &problem, &advice);
        return;
    };
    let is_leaving = instance
        .as_ref()
        .is_some_and(|instance| instance.state == InstanceState::Leaving);
    if is_leaving {
        let problem = format!("the instance {primary} is leaving");
        reader.fault_in(
            section,
            "preferred_primary",
            &problem,
            "name an active instance",
        );
    }
}
