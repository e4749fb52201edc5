//! The text form of a service's configuration, as it stands in the platform's service.

use std::fmt::Write;
use std::net::SocketAddr;

use jujubehold_core::prelude::*;

use crate::ini_fault::IniFaults;
use crate::ini_reader::{IniReader, IniSection};

const SERVICE_KEYS: &[&str] = &[
    "name",
    "generation",
    "confirm",
    "read_age_ms",
    "slots",
    "queue",
    "statement_timeout_ms",
    "preferred_primary",
];
const INSTANCE_KEYS: &[&str] = &["address", "domain", "region", "state", "connections"];
const ADDRESS: &str = "an IP number and a port, such as 127.0.0.1:5432";
const DEFAULT_CONNECTIONS: u32 = 20;

/// Reads a service's configuration from `text`, which came from `file`.
///
/// # Errors
/// Names every fault with its section, its key and what to write instead.
pub fn parse_service(file: &str, text: &str) -> Result<ServiceConfig, IniFaults> {
    let mut reader = IniReader::parse(file, text)?;
    let mut config = ServiceConfig::default();
    let mut section = reader.take_section("service");
    read_service(&mut reader, &mut section, &mut config);
    reader.finish_section(section, SERVICE_KEYS);
    for (name, mut section) in reader.take_kind("instance") {
        let instance = read_instance(&mut reader, &mut section);
        reader.finish_section(section, INSTANCE_KEYS);
        config.instances.insert(name, instance);
    }
    let mut callers = reader.take_section("callers");
    for (name, secret) in reader.take_entries(&mut callers) {
        config.callers.insert(name.into(), secret.into());
    }
    check_whole(&mut reader, &config);
    reader.finish(&["service", "instance NAME", "callers"])?;
    Ok(config)
}

/// Writes a service's configuration in the form that [`parse_service`] reads.
pub fn format_service(config: &ServiceConfig) -> String {
    let mut text = String::new();
    let mut line = |key: &str, value: &dyn std::fmt::Display| {
        let _ = writeln!(text, "{key} = {value}");
    };
    line("name", &config.service);
    line("generation", &config.generation);
    line("confirm", &confirm_name(config.confirm));
    line("read_age_ms", &config.read_age.as_millis());
    line("slots", &config.slots);
    line("queue", &config.queue);
    line(
        "statement_timeout_ms",
        &config.statement_timeout.as_millis(),
    );
    if let Some(primary) = &config.preferred_primary {
        line("preferred_primary", primary);
    }
    text.insert_str(0, "[service]\n");
    for (name, instance) in &config.instances {
        let state = state_name(instance.state);
        let _ = write!(
            text,
            "\n[instance {name}]\naddress = {}\ndomain = {}\nregion = {}\nstate = {state}\n\
             connections = {}\n",
            instance.address, instance.domain, instance.region, instance.connections,
        );
    }
    if !config.callers.is_empty() {
        text.push_str("\n[callers]\n");
        for (name, secret) in &config.callers {
            let _ = writeln!(text, "{name} = {secret}");
        }
    }
    text
}

fn read_service(reader: &mut IniReader, s: &mut IniSection, config: &mut ServiceConfig) {
    config.service = reader.text(s, "name").unwrap_or_default();
    config.generation = reader.value(s, "generation", 0, "a whole number");
    match reader.text(s, "confirm").as_deref() {
        None => {}
        Some("none") => config.confirm = Confirm::None,
        Some("replica") => config.confirm = Confirm::Replica,
        Some(other) => {
            let problem = format!("{other:?} is not a way to confirm");
            reader.fault("service", "confirm", &problem, "write none or replica");
        }
    }
    config.read_age = reader.duration_ms(s, "read_age_ms", config.read_age);
    config.slots = reader.value(s, "slots", config.slots, "a whole number");
    config.queue = reader.value(s, "queue", config.queue, "a whole number");
    config.statement_timeout =
        reader.duration_ms(s, "statement_timeout_ms", config.statement_timeout);
    config.preferred_primary = reader.text(s, "preferred_primary");
}

fn read_instance(reader: &mut IniReader, s: &mut IniSection) -> InstanceConfig {
    let unset = SocketAddr::from(([0, 0, 0, 0], 0));
    let address = reader.value(s, "address", unset, ADDRESS);
    if address == unset {
        let name = s.name.clone();
        reader.fault(
            &name,
            "address",
            "the instance has no address",
            &format!("write {ADDRESS}"),
        );
    }
    let state = match reader.text(s, "state").as_deref() {
        None | Some("active") => InstanceState::Active,
        Some("leaving") => InstanceState::Leaving,
        Some(other) => {
            let problem = format!("{other:?} is not a state");
            let name = s.name.clone();
            reader.fault(&name, "state", &problem, "write active or leaving");
            InstanceState::Active
        }
    };
    InstanceConfig {
        address,
        domain: reader.text(s, "domain").unwrap_or_else(|| "local".into()),
        region: reader.text(s, "region").unwrap_or_else(|| "local".into()),
        state,
        connections: reader.value(s, "connections", DEFAULT_CONNECTIONS, "a whole number"),
    }
}

fn check_whole(reader: &mut IniReader, config: &ServiceConfig) {
    if config.service.is_empty() {
        reader.fault(
            "service",
            "name",
            "the service has no name",
            "write name = NAME",
        );
    }
    if config.instances.is_empty() {
        let advice = "write an [instance NAME] section for each";
        reader.fault("service", "", "the service has no instances", advice);
    }
    if let Some(primary) = &config.preferred_primary
        && !config.instances.contains_key(primary)
    {
        let problem = format!("there is no instance {primary}");
        reader.fault(
            "service",
            "preferred_primary",
            &problem,
            "name one of the instances",
        );
    }
}

fn confirm_name(confirm: Confirm) -> &'static str {
    match confirm {
        Confirm::None => "none",
        Confirm::Replica => "replica",
    }
}

fn state_name(state: InstanceState) -> &'static str {
    match state {
        InstanceState::Active => "active",
        InstanceState::Leaving => "leaving",
    }
}
