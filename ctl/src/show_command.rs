//! `almondctl show`: writes the text of a revision.

use almondhead_lib::revision::Head;
use almondhead_macros::message;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::context::Context;
use crate::document_source::find_head;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::history_command::describe_head;
use crate::report::Format;
use crate::report::write_report;
use crate::report::write_text;

/// The subcommand's name.
pub(crate) const NAME: &str = "show";

const REVISION: &str = "revision";

/// A revision's head and the text of its document.
#[message]
#[derive(derive_more::Display)]
#[display("{text}")]
struct ShowReport {
    head: Head,
    text: String,
}

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Writes the text of a revision, ready to be edited and submitted")
        .long_about(
            "Writes the text of a revision to the standard output, ready to be edited and \
             submitted. Its revision, author, time and note go to the standard error.",
        )
        .arg(
            Arg::new(REVISION)
                .value_name("REV")
                .help("The revision; the newest one when left out")
                .value_parser(value_parser!(u64)),
        )
}

/// Loads the revision and writes it.
pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let store = context.store()?;
    let head = find_head(&store, arguments.get_one(REVISION).copied()).await?;
    let text = store.load(&head).await?;
    match context.format {
        Format::Human => {
            eprintln!("{}", describe_head(&head));
            write_text(&text)?;
        }
        Format::Json => write_report(context.format, &ShowReport { head, text })?,
    }
    Ok(Exit::Ok)
}
