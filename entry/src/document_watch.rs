//! Polls the document in the platform's store and hands each higher revision to the dispatcher.

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

/// The revision under which a document from a file is installed.
const FILE_REVISION: u64 = 1;

/// Why a document file cannot be used.
#[derive(Debug, Display, Error)]
pub enum DocumentFileError {
    /// The file cannot be read.
    #[display("read document {}: {source}", file.display())]
    Read {
        /// The path of the file.
        file: PathBuf,
        /// The error of the file system.
        source: io::Error,
    },
    /// The document is not valid.
    #[display("check document {}: {} problems, the first at {}: {}",
        file.display(), problems.len(), first_path(problems), first_reason(problems))]
    Invalid {
        /// The path of the file.
        file: PathBuf,
        /// Every problem found.
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

/// Checks the document in a file and installs it.
///
/// # Errors
///
/// [`DocumentFileError`] when the file cannot be read or its document is not valid.
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
    install(driver, FILE_REVISION, document, text).await;
    Ok(())
}

/// Polls the head of the document in the platform's store.
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
            let polled = self.poll().await;
            self.record_reachability(polled);
        }
    }

    /// Reads and installs the head's document if its revision is higher than any read before.
    async fn poll(&mut self) -> Result<(), DocumentStoreError> {
        let Some(head) = self.store.head().await? else {
            return Ok(());
        };
        if head.revision <= self.read_revision {
            return Ok(());
        }
        let text = self.store.load(&head).await?;
        self.read_revision = head.revision;
        self.check_and_install(&head, text).await;
        Ok(())
    }

    async fn check_and_install(&self, head: &Head, text: String) {
        let revision = head.revision;
        match check_document(&text) {
            Ok(document) => {
                tracing::info!(revision, author = %head.author, "document read");
                install(&self.driver, revision, document, text).await;
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

    fn record_reachability(&mut self, polled: Result<(), DocumentStoreError>) {
        let is_reachable = polled.is_ok();
        match polled {
            Ok(()) if !self.is_reachable => tracing::info!("document store reachable again"),
            Err(error) if self.is_reachable => tracing::warn!(%error, "document not read"),
            _ => {}
        }
        self.is_reachable = is_reachable;
    }
}

async fn install(driver: &DriverHandle, revision: u64, document: Document, text: String) {
    let event = Event::DocumentInstalled {
        revision,
        document: Arc::new(document),
        text: Bytes::from(text),
    };
    driver.send(event).await;
}
