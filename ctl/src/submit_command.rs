//! `almondctl submit`: checks a document and puts it in force.

use std::fmt;

use almondhead_lib::check::check_document;
use almondhead_lib::document_diff::Change;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::check_command::file_argument;
use crate::check_command::file_of;
use crate::check_command::read_file;
use crate::check_command::report_problems;
use crate::context::Context;
use crate::diff_command::write_changes;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::history_command::describe_head;
use crate::report::write_report;
use crate::submitting::NewDocument;
use crate::submitting::SubmitReport;
use crate::submitting::default_author;
use crate::submitting::submit_document;

/// The subcommand's name.
pub(crate) const NAME: &str = "submit";

const EXPECT: &str = "expect";
const NOTE: &str = "note";
const AUTHOR: &str = "author";

const LONG_ABOUT: &str = "\
Checks a document and, when it is sound, puts it in force by one compare-and-set of the head.

Give with --expect the revision that the file was made from, as `show` told it: the submission is \
then refused if another document was accepted meanwhile, and what it changed is listed. Without \
--expect the file replaces whichever revision is the newest.";

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Checks a document and puts it in force")
        .long_about(LONG_ABOUT)
        .arg(file_argument())
        .arg(
            Arg::new(EXPECT)
                .long(EXPECT)
                .value_name("REV")
                .help("The revision that the file was made from; 0 for the first document")
                .value_parser(value_parser!(u64)),
        )
        .arg(text_option(NOTE, "What to write into the history"))
        .arg(text_option(
            AUTHOR,
            "Who submits; the user's name when left out",
        ))
}

fn text_option(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name).long(name).value_name("TEXT").help(help)
}

/// Checks the file, submits it and writes the result.
pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let store = context.store()?;
    let path = file_of(arguments);
    let text = read_file(path)?;
    if let Err(problems) = check_document(&text) {
        return report_problems(context, path, problems);
    }
    let document = NewDocument {
        text,
        expected_revision: arguments.get_one(EXPECT).copied(),
        note: text_of(arguments, NOTE).unwrap_or_default(),
        author: text_of(arguments, AUTHOR).unwrap_or_else(default_author),
    };
    let report = submit_document(&store, document).await?;
    write_report(context.format, &report)?;
    Ok(match report {
        SubmitReport::Accepted { .. } => Exit::Ok,
        SubmitReport::Conflict { .. } => Exit::LostRace,
    })
}

fn text_of(arguments: &ArgMatches, name: &str) -> Option<String> {
    arguments.get_one(name).cloned()
}

impl fmt::Display for SubmitReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Accepted { head, changes } => {
                writeln!(formatter, "accepted as {}", describe_head(head))?;
                write_changes_since(formatter, head.revision - 1, changes.as_deref())
            }
            Self::Conflict {
                expected_revision,
                winner,
                changes,
            } => {
                writeln!(formatter, "not accepted, and nothing was changed")?;
                match winner {
                    Some(head) => writeln!(formatter, "in force is {}", describe_head(head))?,
                    None => writeln!(formatter, "no document was accepted yet")?,
                }
                write_changes_since(formatter, *expected_revision, changes.as_deref())
            }
        }
    }
}

fn write_changes_since(
    formatter: &mut fmt::Formatter<'_>,
    revision: u64,
    changes: Option<&[Change]>,
) -> fmt::Result {
    match changes {
        Some([]) => writeln!(formatter, "no difference from revision {revision}"),
        Some(changes) => {
            writeln!(formatter, "changes since revision {revision}:")?;
            write_changes(formatter, changes)
        }
        None if revision == 0 => Ok(()),
        None => writeln!(formatter, "revision {revision} could not be compared"),
    }
}
