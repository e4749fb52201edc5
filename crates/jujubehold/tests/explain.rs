//! `explain` prints a request's lines from hosts' logs.

mod support;

use support::jujubehold;

#[test]
fn a_request_is_told_with_what_hosts_believed_around_it() {
    insta::assert_snapshot!(jujubehold(&[
        "explain",
        "64ea948b",
        "host-1.log",
        "host-2.log"
    ]));
}

#[test]
fn a_request_without_lines_is_told_as_such() {
    insta::assert_snapshot!(jujubehold(&["explain", "unknown", "host-1.log"]));
}

#[test]
fn a_command_line_without_files_is_refused() {
    insta::assert_snapshot!(jujubehold(&["explain", "64ea948b"]));
}
