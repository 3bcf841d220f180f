//! The operators' program of almondhead.

use std::process::ExitCode;

fn main() -> ExitCode {
    almondhead_ctl::run(std::env::args_os())
}
