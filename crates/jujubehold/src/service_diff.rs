//! What two configurations of one service say differently.

use std::collections::{BTreeMap, BTreeSet};

use jujubehold_core::prelude::*;
use jujubehold_settings::format_service;

/// Names each key whose value differs, one line each; secrets are not shown, and neither are the
/// generations.
pub fn service_differences(current: &ServiceConfig, submitted: &ServiceConfig) -> Vec<String> {
    let current = entries(current);
    let submitted = entries(submitted);
    let places: BTreeSet<_> = current.keys().chain(submitted.keys()).collect();
    places
        .into_iter()
        .filter(|(section, key)| !(section == "[service]" && key == "generation"))
        .filter(|place| current.get(*place) != submitted.get(*place))
        .map(|place| {
            let (section, key) = place;
            if section == "[callers]" {
                return format!("{section} {key}: differs");
            }
            let current = current.get(place).map_or("not there", String::as_str);
            let submitted = submitted.get(place).map_or("not there", String::as_str);
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
