//! The command line of jujubehold.

fn main() {}
