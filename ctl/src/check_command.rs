//! `almondctl check`: lists every problem and warning of a document.

use std::fmt;
use std::fs;
use std::path::Path;
use std::path::PathBuf;

use almondhead_lib::check::Problem;
use almondhead_lib::check::check_document;
use almondhead_lib::document_lints::lint_document;
use almondhead_macros::message;
use clap::Arg;
use clap::ArgAction;
use clap::ArgMatches;
use clap::Command;
use clap::value_parser;

use crate::context::Context;
use crate::error::CtlError;
use crate::exit::Exit;
use crate::head_comparison::HeadComparison;
use crate::report::write_report;
use crate::submitting::now_unix_ms;

/// The subcommand's name.
pub(crate) const NAME: &str = "check";

const FILE: &str = "file";
const DENY_WARNINGS: &str = "deny-warnings";
const DIFF: &str = "diff";

const LONG_ABOUT: &str = "\
Checks a document and lists every fault with its line, path and reason. Of a document without \
faults, it also lists warnings: entries without effect, and limits that contradict each other. \
Warnings do not keep a document from being submitted.";

/// The result of checking one file.
#[message]
pub(crate) struct CheckReport {
    /// The path of the file, as given.
    pub(crate) file: String,
    /// The problems in the order of the text; empty when the document is valid.
    pub(crate) problems: Vec<Problem>,
    /// The warnings in the order of the text; empty when the document has problems.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub(crate) warnings: Vec<Problem>,
    /// The changes against the document in force; absent when they were not asked for.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub(crate) comparison: Option<HeadComparison>,
}

impl CheckReport {
    /// Returns a report without warnings and comparison.
    fn of_problems(path: &Path, problems: Vec<Problem>) -> Self {
        CheckReport {
            file: path.display().to_string(),
            problems,
            warnings: Vec::new(),
            comparison: None,
        }
    }

    /// Returns the exit code: of the problems, else of denied warnings, else of the comparison.
    fn exit(&self, deny_warnings: bool) -> Exit {
        if !self.problems.is_empty() {
            return Exit::Faults;
        }
        if deny_warnings && !self.warnings.is_empty() {
            return Exit::Warnings;
        }
        match self.comparison {
            Some(HeadComparison::Failed { .. }) => Exit::NotCompared,
            _ => Exit::Ok,
        }
    }
}

impl fmt::Display for CheckReport {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let file = &self.file;
        for problem in &self.problems {
            writeln!(formatter, "{file}: {problem}")?;
        }
        for warning in &self.warnings {
            writeln!(formatter, "{file}: warning: {warning}")?;
        }
        match (self.problems.len(), self.warnings.len()) {
            (0, 0) => writeln!(formatter, "{file}: sound")?,
            (0, 1) => writeln!(formatter, "{file}: sound, 1 warning")?,
            (0, count) => writeln!(formatter, "{file}: sound, {count} warnings")?,
            (1, _) => writeln!(formatter, "{file}: 1 fault")?,
            (count, _) => writeln!(formatter, "{file}: {count} faults")?,
        }
        match &self.comparison {
            Some(comparison) => write!(formatter, "{comparison}"),
            None => Ok(()),
        }
    }
}

/// The subcommand.
pub(crate) fn command() -> Command {
    Command::new(NAME)
        .about("Checks a document and lists every fault with its line, path and reason")
        .long_about(LONG_ABOUT)
        .arg(file_argument())
        .arg(flag(DENY_WARNINGS, "Exits with 5 when there are warnings"))
        .arg(flag(
            DIFF,
            "Also lists what changes against the document in force; needs --platform",
        ))
}

fn flag(name: &'static str, help: &'static str) -> Arg {
    Arg::new(name)
        .long(name)
        .action(ArgAction::SetTrue)
        .help(help)
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

/// Checks the file and writes its problems, or its warnings and what it changes.
pub(crate) async fn run(context: &Context, arguments: &ArgMatches) -> Result<Exit, CtlError> {
    let store = match arguments.get_flag(DIFF) {
        true => Some(context.store()?),
        false => None,
    };
    let path = file_of(arguments);
    let text = read_file(path)?;
    let document = match check_document(&text) {
        Ok(document) => document,
        Err(problems) => return report_problems(context, path, problems),
    };
    let mut report = CheckReport::of_problems(path, Vec::new());
    report.warnings = lint_document(&text, &document, now_unix_ms());
    if let Some(store) = store {
        report.comparison = Some(HeadComparison::with_head(&store, &document).await);
    }
    write_report(context.format, &report)?;
    Ok(report.exit(arguments.get_flag(DENY_WARNINGS)))
}

/// Writes the problems of a file and returns the exit code.
pub(crate) fn report_problems(
    context: &Context,
    path: &Path,
    problems: Vec<Problem>,
) -> Result<Exit, CtlError> {
    let report = CheckReport::of_problems(path, problems);
    write_report(context.format, &report)?;
    Ok(report.exit(false))
}
