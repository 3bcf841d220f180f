//! The exit codes.

use std::process::ExitCode;

use almondhead_macros::key;

/// How the program ends; its help lists the codes.
#[key]
pub(crate) enum Exit {
    /// Done.
    Ok,
    /// A document has faults, or an entry instance is not in the intended state.
    Faults,
    /// The arguments or the files that they name cannot be used.
    Usage,
    /// Another submission was accepted before.
    LostRace,
    /// The platform, or an entry instance, did not answer as needed.
    NotReached,
}

/// The codes as the help tells them.
pub(crate) const EXIT_CODES_HELP: &str = "\
Exit codes:
  0  done
  1  faults found: in a document, or an entry instance is not ready or holds another revision
  2  the arguments, or the files or revisions that they name, cannot be used
  3  another submission was accepted before; nothing was changed
  4  the platform or an entry did not answer as needed; the message says whether something may have changed";

impl From<Exit> for ExitCode {
    fn from(exit: Exit) -> Self {
        let code = match exit {
            Exit::Ok => 0,
            Exit::Faults => 1,
            Exit::Usage => 2,
            Exit::LostRace => 3,
            Exit::NotReached => 4,
        };
        ExitCode::from(code)
    }
}
