//! `almondctl`, the operators' program: checks, submits and shows the document, reports the state
//! of the entry instances, generates load and serves the console.

mod check_command;
mod cli;
mod completions_command;
mod console;
mod console_command;
mod context;
mod diff_command;
mod document_source;
mod error;
mod exit;
mod head_comparison;
mod history_command;
pub mod load;
mod load_driver;
pub mod load_error;
pub mod load_options;
pub mod load_plan;
pub mod load_report;
pub mod load_sample;
pub mod load_scrape;
mod report;
mod schema_command;
mod show_command;
mod status_command;
mod status_probe;
mod status_report;
mod submit_command;
mod submitting;
mod utc;

use std::ffi::OsString;
use std::process::ExitCode;

/// Runs the program with its arguments, the first being its own name.
///
/// Results go to standard output; errors, with the failed step and the peer, to standard error.
pub fn run(arguments: impl IntoIterator<Item = OsString>) -> ExitCode {
    match cli::command().try_get_matches_from(arguments) {
        Ok(matches) => exit_code(smol::block_on(cli::dispatch(&matches))),
        Err(error) => {
            // A failure to write the message can't be reported anywhere.
            let _ = error.print();
            let failed = error.use_stderr();
            if failed {
                exit::Exit::Usage
            } else {
                exit::Exit::Ok
            }
            .into()
        }
    }
}

fn exit_code(result: Result<exit::Exit, error::CtlError>) -> ExitCode {
    let exit = result.unwrap_or_else(|error| {
        eprintln!("almondctl: {error}");
        error.exit()
    });
    exit.into()
}
