//! Where a test finds the workspace's programs, and a free port.

use std::env;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::net::TcpStream;
use std::path::PathBuf;
use std::process;
use std::sync::atomic::AtomicU16;
use std::sync::atomic::Ordering;

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

/// Returns a loopback address that nothing else uses.
///
/// Each has an IP address of its own, made of the process id and a count: a port that was free just
/// now on 127.0.0.1 may be taken meanwhile, by another test or as the near end of a connection.
pub fn free_address() -> Result<SocketAddr, ProcessError> {
    static NEXT: AtomicU16 = AtomicU16::new(0);
    let number = NEXT.fetch_add(1, Ordering::Relaxed);
    let [_, _, high, low] = process::id().to_be_bytes();
    let last = u8::try_from(number % ADDRESSES_OF_ONE_PORT + 2).unwrap_or(u8::MAX);
    let port = FIRST_PORT + number / ADDRESSES_OF_ONE_PORT;
    let address = SocketAddr::from(([127, high, low, last], port));
    // A listener of our own as the probe would be inherited by processes that start meanwhile.
    match TcpStream::connect(address) {
        Err(_) => Ok(address),
        Ok(_) => Err(ProcessError::FreePort {
            address,
            source: ErrorKind::AddrInUse.into(),
        }),
    }
}

const FIRST_PORT: u16 = 7_000;
const ADDRESSES_OF_ONE_PORT: u16 = 250;
