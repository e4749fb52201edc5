//! The `jujubehold` program. The library of this crate implements it.

use std::process::ExitCode;

fn main() -> ExitCode {
    jujubehold::run(std::env::args().skip(1).collect())
}
