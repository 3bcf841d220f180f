//! The `almondctl` binary.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondhead_ctl::run(std::env::args_os())
}
