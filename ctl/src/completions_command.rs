//! `almondctl completions`: writes a completion script for a shell.

use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;
use clap_complete::Shell;
use clap_complete::generate;

use crate::cli;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::report::write_text;

/// The subcommand's name.
pub(crate) const NAME: &str = "completions";

const SHELL: &str = "shell";

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Writes completions for a shell")
        .arg(
            Arg::new(SHELL)
                .value_name("SHELL")
                .required(true)
                .help("The shell")
                .value_parser(value_parser!(Shell)),
        )
}

/// Writes the completion script.
pub(crate) fn run(arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let shell: Shell = *arguments.get_one(SHELL).expect("the shell is required");
    let mut script = Vec::new();
    generate(shell, &mut cli::command(), "almondctl", &mut script);
    write_text(&String::from_utf8_lossy(&script))?;
    Ok(Exit::Ok)
}
