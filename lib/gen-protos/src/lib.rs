//! Generates the peer message types of `almondhead-lib` from `lib/proto/peer.proto`.

use std::error::Error;
use std::path::Path;
use std::path::PathBuf;

use prost_build::Config;
use prost_build::Module;

const PROTO_FILE: &str = "peer.proto";
const HEADER: &str =
    "// Generated from lib/proto/peer.proto by almondhead-gen-protos. Do not edit.\n";

/// Returns the source of the generated module.
///
/// # Errors
///
/// If the `.proto` file cannot be read or is not valid.
pub fn generate() -> Result<String, Box<dyn Error>> {
    let files = protox::compile([PROTO_FILE], [lib_dir().join("proto")])?;
    let modules = files
        .file
        .into_iter()
        .map(|file| (Module::from_protobuf_package_name(file.package()), file))
        .collect();
    let generated = Config::new().bytes(["."]).generate(modules)?;
    let mut text = String::from(HEADER);
    for module in generated.into_values() {
        text.push_str(&module);
    }
    Ok(text)
}

/// Returns the path of the committed module.
pub fn committed_path() -> PathBuf {
    lib_dir().join("src").join("peer_proto.rs")
}

fn lib_dir() -> PathBuf {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("..")
}
