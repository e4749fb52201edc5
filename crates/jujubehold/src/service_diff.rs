//! Lists the differences between two configurations of a service.

use std::collections::{BTreeMap, BTreeSet};

use jujubehold_core::prelude::*;
use jujubehold_settings::format_service;

/// Returns a line for each key whose value differs. Values of secrets are not shown, and
/// generations are not compared.
pub fn service_differences(current: &ServiceConfig, submitted: &ServiceConfig) -> Vec<String> {
    let current = entries(current);
    let submitted = entries(submitted);
    let keys: BTreeSet<_> = current.keys().chain(submitted.keys()).collect();
    keys.into_iter()
        .filter(|(section, key)| !(section == "[service]" && key == "generation"))
        .filter(|entry| current.get(*entry) != submitted.get(*entry))
        .map(|entry| {
            let (section, key) = entry;
            if section == "[callers]" {
                return format!("{section} {key}: differs");
            }
            let current = current.get(entry).map_or("missing", String::as_str);
            let submitted = submitted.get(entry).map_or("missing", String::as_str);
            format!("{section} {key}: in force {current}, in the file {submitted}")
        })
        .collect()
}

fn entries(config: &ServiceConfig) -> BTreeMap<(String, String), String> {
    let mut section = String::new();
    let mut entries = BTreeMap::new();
    for line in format_service(config).lines() {
        if line.starts_with('[') {
            line.clone_into(&mut section);
        } else if let Some((key, value)) = line.split_once(" = ") {
            entries.insert((section.clone(), key.to_owned()), value.to_owned());
        }
    }
    entries
}
