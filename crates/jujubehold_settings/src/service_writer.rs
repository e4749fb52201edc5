//! Formatting of a service's configuration as INI text.

use std::fmt::{Display, Write};

use jujubehold_core::prelude::*;

/// Formats a service's configuration as text that [`parse_service`](crate::parse_service) reads.
pub fn format_service(config: &ServiceConfig) -> String {
    let mut text = String::from("[service]\n");
    write_key(&mut text, "name", &config.service);
    write_key(&mut text, "generation", &config.generation);
    write_key(&mut text, "confirm", &confirm_name(config.confirm));
    write_key(&mut text, "read_age_ms", &config.read_age.as_millis());
    write_key(&mut text, "slots", &config.slots);
    write_key(&mut text, "queue", &config.queue);
    let timeout_ms = config.statement_timeout.as_millis();
    write_key(&mut text, "statement_timeout_ms", &timeout_ms);
    if let Some(primary) = &config.preferred_primary {
        write_key(&mut text, "preferred_primary", primary);
    }
    for (name, instance) in &config.instances {
        let _ = writeln!(text, "\n[instance {name}]");
        write_key(&mut text, "address", &instance.address);
        write_key(&mut text, "domain", &instance.domain);
        write_key(&mut text, "region", &instance.region);
        write_key(&mut text, "state", &state_name(instance.state));
        write_key(&mut text, "connections", &instance.connections);
    }
    if !config.callers.is_empty() {
        text.push_str("\n[callers]\n");
        for (name, verifier) in &config.callers {
            write_key(&mut text, name, verifier);
        }
    }
    text
}

fn write_key(text: &mut String, key: &str, value: &impl Display) {
    let _ = writeln!(text, "{key} = {value}");
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
