//! `almondctl check`: lists every problem of a document.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use almondhead_lib::check::Problem;
use almondhead_lib::check::check_document;
use almondhead_macros::message;
use clap::Arg;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::report::write_report;

/// The subcommand's name.
pub(crate) const NAME: &str = "check";

const FILE: &str = "file";

/// The result of checking one file.
#[message]
pub(crate) struct CheckReport {
    /// The path of the file, as given.
    pub(crate) file: String,
    /// The problems in the order of the text; empty when the document is valid.
    pub(crate) problems: Vec<Problem>,
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = &self.file;
        for problem in &self.problems {
            writeln!(formatter, "{file}: {problem}")?;
        }
        match self.problems.len() {
            0 => writeln!(formatter, "{file}: sound"),
            1 => writeln!(formatter, "{file}: 1 fault"),
            count => writeln!(formatter, "{file}: {count} faults"),
        }
    }
}

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Checks a document and lists every fault with its line, path and reason")
        .arg(file_argument())
}

/// Returns the positional argument for the document's file.
pub(crate) fn file_argument() -> Arg {
    Arg::new(FILE)
        .value_name("FILE")
        .required(true)
        .help("The document, JSON with comments")
        .value_parser(value_parser!(PathBuf))
}

/// Returns the path given for [`file_argument`].
pub(crate) fn file_of(arguments: &ArgMatches) -> &Path {
    let file: &PathBuf = arguments.get_one(FILE).expect("FILE is required");
    file
}

/// Reads a document from a file.
pub(crate) fn read_file(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|source| CtlError::ReadFile {
        path: path.to_owned(),
        source,
    })
}

/// Checks the file and writes its problems.
pub(crate) fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let path = file_of(arguments);
    let text = read_file(path)?;
    let problems = check_document(&text).err().unwrap_or_default();
    report_problems(context, path, problems)
}

/// Writes the problems of a file and returns the exit code.
pub(crate) fn report_problems(
    context: &Context,
    path: &Path,
    problems: Vec<Problem>,
) -> Result<Exit, CtlError> {
    let exit = match problems.is_empty() {
        true => Exit::Ok,
        false => Exit::Faults,
    };
    let file = path.display().to_string();
    write_report(context.format, &CheckReport { file, problems })?;
    Ok(exit)
}
