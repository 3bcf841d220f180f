//! The errors of the process helpers.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use derive_more::Display;
use derive_more::Error;

/// Why a step with a child process failed.
#[derive(Debug, Display, Error)]
pub enum ProcessError {
    /// The program could not be started; the workspace's programs must have been built before.
    #[display("start {}: {source}", program.display())]
    Start {
        /// The program's path.
        program: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// The process has ended.
    #[display("{step}: process {id} has ended; it wrote:\n{output}")]
    Ended {
        /// What was attempted.
        step: &'static str,
        /// The process id.
        id: u32,
        /// All output of the process.
        output: String,
    },
    /// The awaited condition was not met in time.
    #[display("{step}: timed out after {timeout_ms} ms; process {id} wrote:\n{output}")]
    Timeout {
        /// What was attempted.
        step: &'static str,
        /// The process id.
        id: u32,
        /// The time limit in milliseconds.
        timeout_ms: u128,
        /// All output of the process.
        output: String,
    },
    /// The process did not write a valid address.
    #[display("read the address of process {id}: no valid address in the line {line:?}")]
    Address {
        /// The process id.
        id: u32,
        /// The line without a valid address.
        line: String,
    },
    /// A signal could not be sent.
    #[display("send {signal} to process {id}: {source}")]
    Signal {
        /// The signal's name.
        signal: &'static str,
        /// The process id.
        id: u32,
        /// The cause.
        source: io::Error,
    },
    /// No free port could be found.
    #[display("find a free port at {address}: {source}")]
    FreePort {
        /// The address with port 0.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
}
