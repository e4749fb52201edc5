//! `check` reports every fault of all files in one run.

mod support;

use support::jujubehold;

#[test]
fn good_files_pass() {
    insta::assert_snapshot!(jujubehold(&[
        "check",
        "host.ini",
        "shares.ini",
        "entry.ini"
    ]));
}

#[test]
fn every_fault_of_every_file_is_named() {
    insta::assert_snapshot!(jujubehold(&[
        "check",
        "host.ini",
        "host-faults.ini",
        "shares-faults.ini",
        "entry-faults.ini",
        "missing.ini",
    ]));
}
