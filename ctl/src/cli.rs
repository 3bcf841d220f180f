//! The command line of `almondctl` and the dispatch to its subcommands.

use clap::ArgMatches;
use clap::Command;

use crate::check_command;
use crate::completions_command;
use crate::console_command;
use crate::context::Context;
use crate::diff_command;
use crate::error::CtlError;
use crate::exit::EXIT_CODES_HELP;
use crate::exit::Exit;
use crate::history_command;
use crate::load;
use crate::schema_command;
use crate::show_command;
use crate::status_command;
use crate::submit_command;

const ABOUT: &str = "Checks, submits and shows the document of an almondhead site";

const EXAMPLES_HELP: &str = "\
Examples:
  almondctl check site.jsonc
  almondctl --platform 10.0.0.1:9000 show > site.jsonc
  almondctl --platform 10.0.0.1:9000 submit site.jsonc --expect 41 --note 'ate-03 leaves on Friday'
  almondctl --platform 10.0.0.1:9000 status";

/// Returns the command line with every subcommand and the global options.
pub(crate) fn command() -> Command {
    let command = Command::new("almondctl")
        .version(clap::crate_version!())
        .about(ABOUT)
        .after_help(format!("{EXAMPLES_HELP}\n\n{EXIT_CODES_HELP}"))
        .subcommand_required(true)
        .arg_required_else_help(true)
        .subcommand(check_command::command())
        .subcommand(submit_command::command())
        .subcommand(show_command::command())
        .subcommand(history_command::command())
        .subcommand(status_command::command())
        .subcommand(diff_command::command())
        .subcommand(load::command())
        .subcommand(console_command::command())
        .subcommand(schema_command::command())
        .subcommand(completions_command::command());
    let command = command.mut_subcommands(|subcommand| subcommand.after_help(EXIT_CODES_HELP));
    Context::with_options(command)
}

/// Runs the selected subcommand.
pub(crate) async fn dispatch(matches: &ArgMatches) -> Result<Exit, CtlError> {
    let (name, arguments) = matches.subcommand().expect("a subcommand is required");
    let context = Context::new(arguments);
    match name {
        check_command::NAME => check_command::run(&context, arguments).await,
        submit_command::NAME => submit_command::run(&context, arguments).await,
        show_command::NAME => show_command::run(&context, arguments).await,
        history_command::NAME => history_command::run(&context, arguments).await,
        status_command::NAME => status_command::run(&context, arguments).await,
        diff_command::NAME => diff_command::run(&context, arguments).await,
        load::NAME => load::run(&context, arguments),
        console_command::NAME => console_command::run(&context, arguments).await,
        schema_command::NAME => schema_command::run(),
        completions_command::NAME => completions_command::run(arguments),
        _ => unreachable!("every subcommand is listed"),
    }
}
