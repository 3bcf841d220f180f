//! Follows the document and hands each higher revision to the dispatcher.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;

use almondhead_lib::check::Problem;
use almondhead_lib::check::check_document;
use almondhead_lib::event::Event;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

use crate::driver_handle::DriverHandle;

/// The revision of a document that comes from a file.
const FILE_REVISION: u64 = 1;

/// A document file that cannot be used.
#[derive(Debug, Display, Error)]
pub enum DocumentFileError {
    /// The file cannot be read.
    #[display("read document {}: {source}", file.display())]
    Read {
        /// The file.
        file: PathBuf,
        /// Why.
        source: io::Error,
    },
    /// The document does not pass the checker.
    #[display("check document {}: {} problems, the first at {}: {}",
        file.display(), problems.len(), first_path(problems), first_reason(problems))]
    Invalid {
        /// The file.
        file: PathBuf,
        /// Every fault found.
        #[error(not(source))]
        problems: Vec<Problem>,
    },
}

fn first_path(problems: &[Problem]) -> &str {
    problems.first().map_or("", |problem| &problem.path)
}

fn first_reason(problems: &[Problem]) -> &str {
    problems.first().map_or("", |problem| &problem.reason)
}

/// Installs the document of a file.
///
/// # Errors
///
/// A file that cannot be read, or whose document does not pass the checker.
pub(crate) async fn install_file(
    file: &Path,
    driver: &DriverHandle,
) -> Result<(), DocumentFileError> {
    let text = fs::read_to_string(file).map_err(|source| DocumentFileError::Read {
        file: file.to_owned(),
        source,
    })?;
    let document = check_document(&text).map_err(|problems| DocumentFileError::Invalid {
        file: file.to_owned(),
        problems,
    })?;
    let event = Event::DocumentInstalled {
        revision: FILE_REVISION,
        document: Arc::new(document),
        text: Bytes::from(text),
    };
    driver.send(event).await;
    Ok(())
}
