//! Runs the program and collects its output.

use std::process::Command;

/// Runs `jujubehold` with `arguments`; returns its exit code and both of its outputs.
pub(crate) fn jujubehold(arguments: &[&str]) -> String {
    let output = Command::new(env!("CARGO_BIN_EXE_jujubehold"))
        .args(arguments)
        .current_dir(concat!(
            env!("CARGO_MANIFEST_DIR"),
            "/resources/test/fixtures"
        ))
        .output()
        .expect("the program starts");
    format!(
        "exit code {}\n----- stdout\n{}----- stderr\n{}",
        output.status.code().unwrap_or(-1),
        String::from_utf8_lossy(&output.stdout),
        String::from_utf8_lossy(&output.stderr),
    )
}
