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

// Names and errors are text of others. A line break or an escape sequence in one made lines or hid
// some, and a space made fields.
#[test]
fn a_value_that_is_not_plain_stays_one_value() {
    insta::assert_snapshot!(jujubehold(&["explain", "5c0e", "odd-names.log"]));
}

// A collector's prefix with braces of its own hid all lines of the host.
#[test]
fn a_prefix_with_braces_is_skipped() {
    insta::assert_snapshot!(jujubehold(&["explain", "5c0e", "braces.log"]));
}

#[test]
fn a_request_without_lines_is_told_as_such() {
    insta::assert_snapshot!(jujubehold(&["explain", "unknown", "host-1.log"]));
}

#[test]
fn a_command_line_without_files_is_refused() {
    insta::assert_snapshot!(jujubehold(&["explain", "64ea948b"]));
}
