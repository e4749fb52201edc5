//! The pages name everything that the code has, and link to what is there.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use jujubehold::{Command, ExitStatus};
use jujubehold_core::prelude::*;
use jujubehold_settings::{EntrySettings, HostSettings, known_keys, parse_service};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    let file = root().join(name);
    std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()))
}

/// The rows of the tables below the heading `heading`, up to the next heading.
fn rows(page: &str, heading: &str) -> Vec<Vec<String>> {
    page.lines()
        .skip_while(|line| *line != heading)
        .skip(1)
        .take_while(|line| !line.starts_with('#'))
        .filter(|line| line.starts_with("| `"))
        .map(|line| {
            let cells = line.trim_matches('|').split('|');
            cells.map(|cell| cell.trim().to_owned()).collect()
        })
        .collect()
}

fn first_cells(page: &str, heading: &str) -> Vec<String> {
    rows(page, heading)
        .into_iter()
        .map(|row| row[0].trim_matches('`').to_owned())
        .collect()
}

#[test]
fn every_refusal_reason_has_a_row_with_its_sqlstate() {
    let operations = page("docs/OPERATIONS.md");
    let rows = rows(&operations, "### Refused: the request did not run");
    assert_eq!(rows.len(), RefusalReason::ALL.len());
    for reason in RefusalReason::ALL {
        let name = format!("`{}`", reason.as_str());
        let row = rows.iter().find(|row| row[0] == name);
        let row = row.unwrap_or_else(|| panic!("{name} has no row"));
        assert_eq!(row[1], reason.sqlstate(), "{name}");
    }
}

#[test]
fn every_unknown_reason_has_a_row() {
    let operations = page("docs/OPERATIONS.md");
    let names = first_cells(&operations, "### Unknown: the request may have run");
    assert_eq!(names, UnknownReason::ALL.map(UnknownReason::as_str));
}

#[test]
fn every_retry_reason_has_a_row() {
    let operations = page("docs/OPERATIONS.md");
    let names = first_cells(&operations, "### Tried again inside the proxy");
    for reason in RetryReason::ALL {
        assert!(
            names.iter().any(|name| name == reason.as_str()),
            "{reason:?}"
        );
    }
}

/// Every Rust file below `directory`.
fn rust_files(directory: &Path) -> Vec<PathBuf> {
    let entries = std::fs::read_dir(directory).expect("the directory is there");
    let mut files = Vec::new();
    for entry in entries {
        let path = entry.expect("it can be read").path();
        if path.is_dir() {
            files.extend(rust_files(&path));
        } else if path.extension().is_some_and(|extension| extension == "rs") {
            files.push(path);
        }
    }
    files
}

/// Every text that stands between `start` and a quotation mark in the hosts' code.
fn quoted_after(start: &str) -> Vec<String> {
    let mut found = Vec::new();
    let mut files = rust_files(&root().join("crates/jujubehold_host/src"));
    files.extend(rust_files(&root().join("crates/jujubehold_entry/src")));
    for file in files {
        let text = std::fs::read_to_string(&file).expect("the file can be read");
        let rests = text.split(start).skip(1);
        found.extend(rests.filter_map(|rest| rest.split('"').next().map(str::to_owned)));
    }
    found
}

#[test]
fn every_metric_is_told() {
    let operations = page("docs/OPERATIONS.md");
    let names = quoted_after("\"jujubehold_");
    assert!(names.len() > 10, "{names:?}");
    for name in names {
        let row = format!("| `jujubehold_{name}` |");
        assert!(operations.contains(&row), "{row} is not told");
    }
}

#[test]
fn every_reason_that_is_no_enum_is_told() {
    let operations = page("docs/OPERATIONS.md");
    for reason in quoted_after("\"reason\" => \"") {
        let row = format!("| `{reason}` |");
        assert!(operations.contains(&row), "{row} is not told");
    }
}

#[test]
fn every_command_and_exit_code_has_a_row() {
    let operations = page("docs/OPERATIONS.md");
    for command in Command::ALL {
        let name = format!("`{}`", command.name());
        assert!(operations.contains(&name), "{name} is not told");
    }
    for status in ExitStatus::ALL {
        let row = format!("| {} | {}", status.code(), status.meaning());
        assert!(operations.contains(&row), "{row:?} is not told");
    }
}

#[test]
fn every_key_has_a_row_in_its_section() {
    let configuration = page("docs/CONFIGURATION.md");
    for (section, keys) in known_keys() {
        let told = first_cells(&configuration, &format!("### [{section}]"));
        assert_eq!(told, keys, "[{section}]");
    }
}

/// INI of every default that the page tells in `section`.
fn told_defaults(configuration: &str, section: &str) -> String {
    let mut text = format!("[{section}]\n");
    for row in rows(configuration, &format!("### [{section}]")) {
        if let Some(value) = row[2].strip_prefix('`') {
            let key = row[0].trim_matches('`');
            let _ = writeln!(text, "{key} = {}", value.trim_matches('`'));
        }
    }
    text
}

#[test]
fn the_defaults_are_those_of_the_code() {
    let configuration = page("docs/CONFIGURATION.md");
    for section in ["host", "failover"] {
        let text = told_defaults(&configuration, section);
        assert!(text.lines().count() > 4, "{text}");
        assert_eq!(
            HostSettings::parse("page", &text),
            Ok(HostSettings::default())
        );
    }
    let entry = told_defaults(&configuration, "entry");
    assert!(entry.lines().count() > 4, "{entry}");
    assert_eq!(
        EntrySettings::parse("page", &entry),
        Ok(EntrySettings::default())
    );
    let minimum = "[service]\nname = s\n[instance a]\naddress = 127.0.0.1:1\n";
    let service = told_defaults(&configuration, "service");
    let instance = told_defaults(&configuration, "instance NAME");
    let told = format!(
        "{service}name = s\n{}address = 127.0.0.1:1\n",
        instance.replace("NAME", "a")
    );
    assert_eq!(parse_service("page", &told), parse_service("page", minimum));
}

#[test]
fn the_glossary_maps_the_four_words() {
    let glossary = page("docs/GLOSSARY.md");
    for (word, elsewhere) in [
        ("host", "node"),
        ("failure domain", "availability zone"),
        ("caller", "client"),
        ("upstream", "backend"),
    ] {
        let mut rows = glossary.lines().filter(|line| line.starts_with("| "));
        assert!(
            rows.any(|row| row.contains(word) && row.contains(elsewhere)),
            "{word}"
        );
    }
}

#[test]
fn links_lead_somewhere() {
    let mut pages = vec![root().join("README.md"), root().join("CONTRIBUTING.md")];
    for directory in ["docs", "docs/notes"] {
        let entries = std::fs::read_dir(root().join(directory)).expect("the directory is there");
        pages.extend(entries.map(|entry| entry.expect("it can be read").path()));
    }
    for file in pages {
        if file.extension().is_none_or(|extension| extension != "md") {
            continue;
        }
        let text = std::fs::read_to_string(&file).expect("the page can be read");
        for target in text
            .split("](")
            .skip(1)
            .filter_map(|rest| rest.split(')').next())
        {
            let path = target.split('#').next().unwrap_or_default();
            if path.is_empty() || path.contains("://") || path.contains(' ') {
                continue;
            }
            let directory = file.parent().expect("a page is in a directory");
            assert!(
                directory.join(path).exists(),
                "{}: {target} leads nowhere",
                file.display()
            );
        }
    }
}

#[test]
fn files_that_the_pages_name_are_there() {
    let files = rust_files(&root().join("crates"));
    for name in ["docs/ARCHITECTURE.md", "CONTRIBUTING.md"] {
        let text = page(name);
        // Every second piece stands between backticks.
        for told in text.split('`').skip(1).step_by(2) {
            if told.contains(' ') || Path::new(told).extension().is_none_or(|end| end != "rs") {
                continue;
            }
            let is_there = files.iter().any(|file| file.ends_with(told));
            assert!(is_there, "{name}: there is no {told}");
        }
    }
}
