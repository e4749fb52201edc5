//! The program `jujubehold`; everything it does is in the library beside it.

use std::process::ExitCode;

fn main() -> ExitCode {
    jujubehold::run(std::env::args().skip(1).collect())
}
