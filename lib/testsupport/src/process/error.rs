//! Errors of the process helper.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

/// A process that didn't do what a test needs.
#[derive(Debug, Display, Error)]
pub enum ProcessError {
    /// The program didn't start; the workspace's programs must have been built before.
    #[display("start {}: {source}", program.display())]
    Start {
        /// The program's path.
        program: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The process ended by itself.
    #[display("{step}: process {id} has ended; it wrote:\n{output}")]
    Ended {
        /// What was attempted.
        step: &'static str,
        /// The process id.
        id: u32,
        /// All that it wrote.
        output: String,
    },
    /// What the test waits for didn't happen in time.
    #[display("{step}: not within {timeout_ms} ms; process {id} wrote:\n{output}")]
    Timeout {
        /// What was attempted.
        step: &'static str,
        /// The process id.
        id: u32,
        /// The time limit in milliseconds.
        timeout_ms: u128,
        /// All that it wrote.
        output: String,
    },
    /// The process wrote an address that isn't one.
    #[display("read the address of process {id}: {line}")]
    Address {
        /// The process id.
        id: u32,
        /// The line.
        line: String,
    },
    /// A signal could not be sent.
    #[display("send {signal} to process {id}: {source}")]
    Signal {
        /// The signal's name.
        signal: &'static str,
        /// The process id.
        id: u32,
        /// Why.
        source: io::Error,
    },
    /// No free port could be found.
    #[display("find a free port at {address}: {source}")]
    FreePort {
        /// The address with port 0.
        address: SocketAddr,
        /// Why.
        source: io::Error,
    },
}
