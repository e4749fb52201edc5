//! Every recorded trace has its stated outcomes.
//!
//! To fill in the outcomes of a new trace, run with `JUJUBEHOLD_FILL_TRACES=1` and read every line
//! that it states before keeping it.

use std::path::{Path, PathBuf};

use jujubehold_core::replay::{TraceFault, replay};

fn traces() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("resources/test/fixtures");
    let entries = std::fs::read_dir(directory).expect("the fixtures are there");
    let mut traces: Vec<_> = entries
        .map(|entry| entry.expect("it can be read").path())
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "trace")
        })
        .collect();
    traces.sort();
    traces
}

#[test]
fn every_trace_has_its_stated_outcomes() {
    let mut count = 0;
    for path in traces() {
        let text = std::fs::read_to_string(&path).expect("it can be read");
        let replay = replay(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        if std::env::var_os("JUJUBEHOLD_FILL_TRACES").is_some() {
            std::fs::write(&path, &replay.filled).expect("it can be written");
            continue;
        }
        assert!(replay.stated > 0, "{} states nothing", path.display());
        assert!(
            replay.is_as_stated(),
            "{}: {:#?}",
            path.display(),
            replay.differences
        );
        count += 1;
    }
    println!("{count} traces");
}

#[test]
fn an_outcome_that_is_not_stated_is_a_difference() {
    let trace = "rerun w1 progress=sent\nexpect w1 may_run\nrerun w2 progress=sent\n";
    let replay = replay(trace).expect("it is well formed");
    let lines: Vec<_> = replay.differences.iter().map(|one| one.number).collect();
    assert_eq!(lines, [1, 3]);
}

#[test]
fn a_fault_names_its_line() {
    let error = replay("# a comment\nrerun w1\n").expect_err("the progress is missing");
    assert_eq!(error.number, 2);
    assert_eq!(error.fault, TraceFault::Missing("progress".to_owned()));
    assert_eq!(error.to_string(), "line 2: `progress` is missing");
}
