//! Checks that the documentation covers the code's names and defaults, and that its links resolve.

use std::fmt::Write;
use std::path::{Path, PathBuf};

use jujubehold::{Command, ExitStatus};
use jujubehold_core::connection_purpose::ConnectionPurpose;
use jujubehold_core::prelude::*;
use jujubehold_settings::{EntrySettings, HostSettings, known_keys, parse_service};

fn root() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..")
}

fn page(name: &str) -> String {
    let file = root().join(name);
    std::fs::read_to_string(&file).unwrap_or_else(|error| panic!("{}: {error}", file.display()))
}

/// Returns the rows of the tables below `heading`, up to the next heading.
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

/// Returns every Rust file below `directory`.
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

/// Returns every text between `start` and the next quotation mark in the code of the hosts.
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
fn every_metric_is_documented() {
    let operations = page("docs/OPERATIONS.md");
    let names = quoted_after("\"jujubehold_");
    assert!(names.len() > 10, "{names:?}");
    for name in names {
        let row = format!("| `jujubehold_{name}` |");
        assert!(operations.contains(&row), "{row} is not documented");
    }
}

#[test]
fn every_purpose_of_a_connection_is_documented() {
    let operations = page("docs/OPERATIONS.md");
    let name = "| `jujubehold_upstream_open_attempts_total` |";
    let row = operations.lines().find(|line| line.starts_with(name));
    let row = row.expect("the metric has a row");
    for purpose in ConnectionPurpose::ALL {
        let name = format!("`{}`", purpose.as_str());
        assert!(row.contains(&name), "{name} is not documented");
    }
}

#[test]
fn every_reason_outside_the_enums_is_documented() {
    let operations = page("docs/OPERATIONS.md");
    for reason in quoted_after("\"reason\" => \"") {
        let row = format!("| `{reason}` |");
        assert!(operations.contains(&row), "{row} is not documented");
    }
}

#[test]
fn every_command_and_exit_code_has_a_row() {
    let operations = page("docs/OPERATIONS.md");
    for command in Command::ALL {
        let name = format!("`{}`", command.name());
        assert!(operations.contains(&name), "{name} is not documented");
    }
    for status in ExitStatus::ALL {
        let row = format!("| {} | {}", status.code(), status.meaning());
        assert!(operations.contains(&row), "{row:?} is not documented");
    }
}

#[test]
fn every_key_has_a_row_in_its_section() {
    let configuration = page("docs/CONFIGURATION.md");
    for (section, keys) in known_keys() {
        let documented = first_cells(&configuration, &format!("### [{section}]"));
        assert_eq!(documented, keys, "[{section}]");
    }
}

/// Returns INI text of every default that the page documents for `section`.
fn documented_defaults(configuration: &str, section: &str) -> String {
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
        let text = documented_defaults(&configuration, section);
        assert!(text.lines().count() > 4, "{text}");
        assert_eq!(
            HostSettings::parse("page", &text),
            Ok(HostSettings::default())
        );
    }
    let entry = documented_defaults(&configuration, "entry");
    assert!(entry.lines().count() > 4, "{entry}");
    assert_eq!(
        EntrySettings::parse("page", &entry),
        Ok(EntrySettings::default())
    );
    let minimum = "[service]\nname = s\n[instance a]\naddress = 127.0.0.1:1\n";
    let service = documented_defaults(&configuration, "service");
    let instance = documented_defaults(&configuration, "instance NAME");
    let documented = format!(
        "{service}name = s\n{}address = 127.0.0.1:1\n",
        instance.replace("NAME", "a")
    );
    assert_eq!(
        parse_service("page", &documented),
        parse_service("page", minimum)
    );
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
fn links_resolve() {
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
                "{}: the link to {target} is broken",
                file.display()
            );
        }
    }
}

#[test]
fn files_named_in_the_pages_exist() {
    let files = rust_files(&root().join("crates"));
    for name in ["docs/ARCHITECTURE.md", "CONTRIBUTING.md"] {
        let text = page(name);
        // Every second part is between backticks.
        for name_in_page in text.split('`').skip(1).step_by(2) {
            if name_in_page.contains(' ')
                || Path::new(name_in_page)
                    .extension()
                    .is_none_or(|end| end != "rs")
            {
                continue;
            }
            let exists = files.iter().any(|file| file.ends_with(name_in_page));
            assert!(exists, "{name}: there is no {name_in_page}");
        }
    }
}
