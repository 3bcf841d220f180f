//! Follows the document and hands each higher revision to the dispatcher.

use std::fs;
use std::io;
use std::path::Path;
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use almondhead_lib::check::Problem;
use almondhead_lib::check::check_document;
use almondhead_lib::document::Document;
use almondhead_lib::event::Event;
use almondhead_lib::revision::Head;
use almondhead_net::DocumentStore;
use almondhead_net::DocumentStoreError;
use bytes::Bytes;
use derive_more::Display;
use derive_more::Error;

use crate::driver_handle::DriverHandle;
use crate::timer::TimerService;

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
    hand_over(driver, FILE_REVISION, document, text).await;
    Ok(())
}

/// Looks at the head in the platform's store again and again.
pub(crate) struct DocumentWatch {
    store: DocumentStore,
    driver: DriverHandle,
    read_revision: u64,
    is_reachable: bool,
}

impl DocumentWatch {
    pub(crate) fn new(store: DocumentStore, driver: DriverHandle) -> Self {
        DocumentWatch {
            store,
            driver,
            read_revision: 0,
            is_reachable: true,
        }
    }

    /// Runs until the process ends.
    pub(crate) async fn run(mut self, timer: TimerService, period: Duration) {
        let mut ticks = timer.every(period);
        loop {
            ticks.next().await;
            let looked = self.look().await;
            self.note_reachable(looked);
        }
    }

    /// Hands over the head's document where its revision is higher than all before.
    async fn look(&mut self) -> Result<(), DocumentStoreError> {
        let Some(head) = self.store.head().await? else {
            return Ok(());
        };
        if head.revision <= self.read_revision {
            return Ok(());
        }
        let text = self.store.load(&head).await?;
        self.read_revision = head.revision;
        self.take(&head, text).await;
        Ok(())
    }

    async fn take(&self, head: &Head, text: String) {
        let revision = head.revision;
        match check_document(&text) {
            Ok(document) => {
                tracing::info!(revision, author = %head.author, "document read");
                hand_over(&self.driver, revision, document, text).await;
            }
            Err(problems) => {
                let first = first_reason(&problems);
                tracing::error!(
                    revision,
                    problems = problems.len(),
                    first,
                    "document refused"
                );
            }
        }
    }

    fn note_reachable(&mut self, looked: Result<(), DocumentStoreError>) {
        let is_reachable = looked.is_ok();
        match looked {
            Ok(()) if !self.is_reachable => tracing::info!("document store answers again"),
            Err(error) if self.is_reachable => tracing::warn!(%error, "document not read"),
            _ => {}
        }
        self.is_reachable = is_reachable;
    }
}

async fn hand_over(driver: &DriverHandle, revision: u64, document: Document, text: String) {
    let event = Event::DocumentInstalled {
        revision,
        document: Arc::new(document),
        text: Bytes::from(text),
    };
    driver.send(event).await;
}
