//! `almondctl diff`: lists the differences between two documents.

use std::fmt;
use std::path::Path;

use almondhead_lib::document_diff::Change;
use almondhead_lib::document_diff::document_changes;
use almondhead_macros::message;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;

use crate::check_command::report_problems;
use crate::context::Context;
use crate::document_source::DocumentSource;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::report::write_report;

/// The subcommand's name.
pub(crate) const NAME: &str = "diff";

const BEFORE: &str = "before";
const AFTER: &str = "after";

/// The differences between two documents.
#[message]
struct DiffReport {
    changes: Vec<Change>,
}

impl fmt::Display for DiffReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        if self.changes.is_empty() {
            writeln!(formatter, "no difference")?;
        }
        write_changes(formatter, &self.changes)
    }
}

/// Writes one line for each change.
pub(crate) fn write_changes(formatter: &mut fmt::Formatter<'_>, changes: &[Change]) -> fmt::Result {
    for change in changes {
        writeln!(formatter, "  {change}")?;
    }
    Ok(())
}

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Lists what differs between two documents, by path")
        .arg(source_argument(BEFORE, "A"))
        .arg(source_argument(AFTER, "B"))
}

fn source_argument(name: &'static str, value_name: &'static str) -> Arg {
    Arg::new(name)
        .value_name(value_name)
        .required(true)
        .help("A revision, `head` for the newest one, or a file")
}

/// Compares the documents and writes the differences.
pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let mut documents = Vec::new();
    for name in [BEFORE, AFTER] {
        let argument: &String = arguments
            .get_one(name)
            .expect("both documents are required");
        match DocumentSource::parse(argument).load(context).await? {
            Ok(document) => documents.push(document),
            Err(problems) => return report_problems(context, Path::new(argument), problems),
        }
    }
    let changes = document_changes(&documents[0], &documents[1]);
    write_report(context.format, &DiffReport { changes })?;
    Ok(Exit::Ok)
}
