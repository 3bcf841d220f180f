//! The exit codes of `almondctl`.

use std::process::ExitCode;

use almondhead_macros::key;

/// The result of a run, by its exit code.
#[key]
pub(crate) enum Exit {
    /// The command succeeded.
    Ok,
    /// A document has problems, a stored revision is damaged, an edit of the draft failed, or an
    /// entry instance is not ready or not at the newest revision.
    Faults,
    /// The arguments, or the files or revisions that they name, cannot be used.
    Usage,
    /// Another submission was accepted first.
    LostRace,
    /// The platform or an entry instance could not be reached or answered with an error.
    Unavailable,
    /// A valid document has warnings, which the command was told to deny.
    Warnings,
    /// A valid document was not compared with the one in force, which could not be read.
    NotCompared,
}

/// The list of exit codes in the help texts.
pub(crate) const EXIT_CODES_HELP: &str = "\
Exit codes:
  0  done
  1  faults found: in a document, or an entry instance is not ready or holds another revision
  2  the arguments, or the files or revisions that they name, cannot be used
  3  another submission was accepted before; nothing was changed
  4  the platform or an entry did not answer as needed; the message says whether something may have changed
  5  check --deny-warnings: the document has warnings and no faults
  6  check --diff: the document in force could not be read; the document has no faults";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        let code = match exit {
            Exit::Ok => 0,
            Exit::Faults => 1,
            Exit::Usage => 2,
            Exit::LostRace => 3,
            Exit::Unavailable => 4,
            Exit::Warnings => 5,
            Exit::NotCompared => 6,
        };
        ExitCode::from(code)
    }
}
