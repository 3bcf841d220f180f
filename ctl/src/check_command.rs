//! `almondctl check`: every fault of a document at once.

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

/// What the check of one file found.
#[message]
pub(crate) struct CheckReport {
    /// The file.
    pub(crate) file: String,
    /// Its faults in the order of the text; none when it is sound.
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

/// The argument that names the document's file.
pub(crate) fn file_argument() -> Arg {
    Arg::new(FILE)
        .value_name("FILE")
        .required(true)
        .help("The document, JSON with comments")
        .value_parser(value_parser!(PathBuf))
}

/// The file that the arguments name.
pub(crate) fn file_of(arguments: &ArgMatches) -> &Path {
    let file: &PathBuf = arguments.get_one(FILE).expect("is required");
    file
}

/// Reads a document's file.
pub(crate) fn read_file(path: &Path) -> Result<String, CtlError> {
    fs::read_to_string(path).map_err(|source| CtlError::ReadFile {
        path: path.to_owned(),
        source,
    })
}

/// Checks the file and writes what was found.
pub(crate) fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let path = file_of(arguments);
    let text = read_file(path)?;
    let problems = check_document(&text).err().unwrap_or_default();
    report_problems(context, path, problems)
}

/// Writes the faults of a file and tells the exit code.
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
