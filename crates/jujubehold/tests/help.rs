//! The help text of every command shows its usage, its options with their units, its exit codes and
//! an example.

mod support;

use jujubehold::Command;
use support::jujubehold;

#[test]
fn the_overview_lists_every_command() {
    insta::assert_snapshot!(jujubehold(&["--help"]));
}

#[test]
fn every_command_has_a_help_text() {
    for command in Command::ALL {
        let name = command.name();
        let text = jujubehold(&[name, "--help"]);
        assert!(text.starts_with("exit code 0"), "{text}");
        insta::assert_snapshot!(format!("help_{name}"), text);
    }
}

#[test]
fn a_wrong_command_line_is_told() {
    insta::assert_snapshot!(
        [
            jujubehold(&["chekc"]),
            jujubehold(&["check"]),
            jujubehold(&["show", "--platfrom", "127.0.0.1:1"]),
            jujubehold(&["show", "--platform", "db1:2379"]),
        ]
        .join("\n")
    );
}
