//! The paths of the workspace's programs, and free addresses for their listeners.

use std::env;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

use super::error::ProcessError;

/// Returns the path of a program of the workspace, in the target directory of the running test.
///
/// The program exists once `cargo build --workspace --bins` has run with the test's profile.
pub fn workspace_binary(name: &str) -> PathBuf {
    let test = env::current_exe().expect("a running test has a path");
    let profile = test.parent().and_then(|deps| deps.parent());
    profile
        .expect("a test lies in target/PROFILE/deps")
        .join(name)
}

/// Returns a loopback address that nothing else uses.
///
/// Its IP address is derived from the process id and a counter, so that no other test uses it. A
/// free port on 127.0.0.1 could be taken before it is listened on, by another test or as the local
/// port of a connection.
pub fn free_address() -> Result<SocketAddr, ProcessError> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    let last = u8::try_from(number % ADDRESSES_PER_PORT + 2).unwrap_or(u8::MAX);
    let port = BASE_PORT + number / ADDRESSES_PER_PORT;
    let address = SocketAddr::from(([127, high, low, last], port));
    // A listener as the probe would be inherited by child processes started at the same time.
    match TcpStream::connect(address) {
        Err(_) => Ok(address),
        Ok(_) => Err(ProcessError::FreePort {
            address,
            source: ErrorKind::AddrInUse.into(),
        }),
    }
}

const BASE_PORT: u16 = 7_000;
const ADDRESSES_PER_PORT: u16 = 250;
