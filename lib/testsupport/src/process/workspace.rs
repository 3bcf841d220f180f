//! Where a test finds the workspace's programs, and a free port.

use std::env;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::path::PathBuf;

use super::error::ProcessError;

/// Returns the path of a program of the workspace, beside the directory of the running test.
///
/// It is there once `cargo build --workspace --bins` has run with the test's profile.
pub fn workspace_binary(name: &str) -> PathBuf {
    let test = env::current_exe().expect("a running test has a path");
    let profile = test.parent().and_then(|deps| deps.parent());
    profile
        .expect("a test lies in target/PROFILE/deps")
        .join(name)
}

/// Returns a loopback address that was free just now.
pub fn free_address() -> Result<SocketAddr, ProcessError> {
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    TcpListener::bind(address)
        .and_then(|listener| listener.local_addr())
        .map_err(|source| ProcessError::FreePort { address, source })
}
