//! Generates the code of `jujubehold_wire` from its `.proto` files.
//!
//! Run it from the repository's root with `cargo run -p jujubehold_codegen` and commit its output,
//! so that a build of the product needs no code generator.

use std::io::Result;
use std::path::Path;

const PROTO_DIR: &str = "crates/jujubehold_wire/proto";
const OUT_DIR: &str = "crates/jujubehold_wire/src/generated";

fn main() -> Result<()> {
    let files = ["kv.proto", "peer.proto"].map(|name| Path::new(PROTO_DIR).join(name));
    let descriptors = protox::compile(&files, [PROTO_DIR]).map_err(std::io::Error::other)?;
    tonic_prost_build::configure()
        .out_dir(OUT_DIR)
        .bytes(".jujubehold.peer.ForwardFrames")
        .compile_fds(descriptors)
}
