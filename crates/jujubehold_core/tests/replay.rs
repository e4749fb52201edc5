//! Replays every recorded trace against its expected outcomes.
//!
//! To fill in the outcomes of a new trace, run with `JUJUBEHOLD_FILL_TRACES=1` and review every
//! line that it states before keeping it.

use std::path::{Path, PathBuf};

use jujubehold_core::replay::{TraceErrorKind, replay};

fn traces() -> Vec<PathBuf> {
    let directory = Path::new(env!("CARGO_MANIFEST_DIR")).join("resources/test/fixtures");
    let entries = std::fs::read_dir(directory).expect("the fixtures directory exists");
    let mut traces: Vec<_> = entries
        .map(|entry| entry.expect("the directory entry is readable").path())
        .filter(|path| {
            path.extension()
                .is_some_and(|extension| extension == "trace")
        })
        .collect();
    traces.sort();
    traces
}

#[test]
fn every_trace_has_its_expected_outcomes() {
    let mut count = 0;
    for path in traces() {
        let text = std::fs::read_to_string(&path).expect("the trace is readable");
        let replay = replay(&text).unwrap_or_else(|error| panic!("{}: {error}", path.display()));
        if std::env::var_os("JUJUBEHOLD_FILL_TRACES").is_some() {
            std::fs::write(&path, &replay.filled_trace).expect("the trace is writable");
            continue;
        }
        assert!(
            replay.expected_count > 0,
            "{} states no outcome",
            path.display()
        );
        assert!(
            replay.matches_expectations(),
            "{}: {:#?}",
            path.display(),
            replay.mismatches
        );
        count += 1;
    }
    println!("{count} traces");
}

#[test]
fn an_outcome_that_is_not_stated_is_a_mismatch() {
    let trace = "rerun w1 progress=sent\nexpect w1 may_run\nrerun w2 progress=sent\n";
    let replay = replay(trace).expect("the trace is well formed");
    let lines: Vec<_> = replay
        .mismatches
        .iter()
        .map(|mismatch| mismatch.number)
        .collect();
    assert_eq!(lines, [1, 3]);
}

#[test]
fn an_error_names_its_line() {
    let error = replay("# a comment\nrerun w1\n").expect_err("the progress is missing");
    assert_eq!(error.number, 2);
    assert_eq!(error.kind, TraceErrorKind::Missing("progress".to_owned()));
    assert_eq!(error.to_string(), "line 2: missing progress");
}
