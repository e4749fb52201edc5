//! `replay` reports whether the outcomes of a trace are the expected ones.

mod support;

use support::jujubehold;

#[test]
fn traces_are_compared_with_what_they_state() {
    insta::assert_snapshot!(
        [
            jujubehold(&["replay", "good.trace"]),
            jujubehold(&["replay", "good.trace", "wrong.trace"]),
            jujubehold(&["replay", "--fill", "wrong.trace"]),
            jujubehold(&["replay", "malformed.trace"]),
            jujubehold(&["replay", "missing.trace"]),
        ]
        .join("\n")
    );
}
