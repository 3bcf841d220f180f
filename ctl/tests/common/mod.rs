//! Runs `almondctl` as a process, against a platform stand-in where one is needed.

// Each test file uses a part of this module.
#![allow(dead_code)]

use std::net::SocketAddr;
use std::process::Command;
use std::process::Output;

use almondhead_testsupport::PlatformSettings;
use almondhead_testsupport::PlatformStandIn;

/// The path of an example document.
pub(crate) const EXAMPLE: &str = concat!(
    env!("CARGO_MANIFEST_DIR"),
    "/../examples/directory-enquiries.jsonc"
);

/// The exit code and output of a finished process.
pub(crate) struct Run {
    pub(crate) code: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl From<Output> for Run {
    fn from(output: Output) -> Self {
        Run {
            code: output.status.code().expect("the program ends by itself"),
            stdout: String::from_utf8(output.stdout).expect("results are text"),
            stderr: String::from_utf8(output.stderr).expect("errors are text"),
        }
    }
}

impl Run {
    /// Asserts the exit code and returns the standard output.
    #[track_caller]
    pub(crate) fn stdout_of(self, code: i32) -> String {
        let (stdout, stderr) = (&self.stdout, &self.stderr);
        assert_eq!(self.code, code, "stdout: {stdout}\nstderr: {stderr}");
        self.stdout
    }
}

/// Runs `almondctl` with these arguments.
pub(crate) async fn almondctl(arguments: &[&str]) -> Run {
    let mut command = Command::new(env!("CARGO_BIN_EXE_almondctl"));
    command.args(arguments);
    let output = smol::unblock(move || command.output()).await;
    output.expect("the program starts").into()
}

/// Runs `almondctl` against the platform at this address, with a short timeout.
pub(crate) async fn almondctl_at(platform: SocketAddr, arguments: &[&str]) -> Run {
    let address = platform.to_string();
    let options = ["--platform", address.as_str(), "--timeout-ms", "500"];
    almondctl(&[&options, arguments].concat()).await
}

/// Starts a platform stand-in.
pub(crate) async fn platform() -> PlatformStandIn {
    let started = PlatformStandIn::start(PlatformSettings::default()).await;
    started.expect("the stand-in starts")
}
