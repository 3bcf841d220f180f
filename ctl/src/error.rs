//! Errors of the program.

use std::io;
use std::path::PathBuf;

use almondhead_net::DocumentStoreError;
use almondhead_net::PlatformError;
use derive_more::Display;
use derive_more::Error;

use crate::exit::Exit;

/// A command that could not be done.
#[derive(Debug, Display, Error)]
pub(crate) enum CtlError {
    /// A file cannot be read.
    #[display("read {}: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// Why not.
        source: io::Error,
    },
    /// The result cannot be written.
    #[display("write the result: {source}")]
    WriteResult {
        /// Why not.
        source: io::Error,
    },
    /// The command needs the platform, but its address is not given.
    #[display("this command needs the platform: give its address with --platform IP:PORT")]
    NoPlatform,
    /// No document was accepted yet.
    #[display("read the head: no document was accepted yet")]
    NoDocument,
    /// There is no such revision.
    #[display("read the history: there is no revision {revision}")]
    NoRevision {
        /// The revision.
        revision: u64,
    },
    /// The documents' store failed.
    #[display("{source}")]
    Store {
        /// What failed, with the step and the peer.
        source: Box<DocumentStoreError>,
    },
    /// The platform's list of instances is not to be had.
    #[display("{source}")]
    List {
        /// What failed, with the step and the peer.
        source: Box<PlatformError>,
    },
}

impl CtlError {
    /// The exit code of the error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::ReadFile { .. } | Self::NoPlatform => Exit::Usage,
            Self::NoDocument | Self::NoRevision { .. } => Exit::Usage,
            Self::WriteResult { source } if source.kind() == io::ErrorKind::BrokenPipe => Exit::Ok,
            Self::WriteResult { .. } => Exit::Usage,
            Self::Store { source } => store_exit(source),
            Self::List { .. } => Exit::NotReached,
        }
    }
}

impl From<DocumentStoreError> for CtlError {
    fn from(source: DocumentStoreError) -> Self {
        let source = Box::new(source);
        Self::Store { source }
    }
}

impl From<PlatformError> for CtlError {
    fn from(source: PlatformError) -> Self {
        let source = Box::new(source);
        Self::List { source }
    }
}

fn store_exit(error: &DocumentStoreError) -> Exit {
    match error {
        DocumentStoreError::Platform { .. } | DocumentStoreError::Unknown { .. } => {
            Exit::NotReached
        }
        DocumentStoreError::BadHead { .. }
        | DocumentStoreError::MissingObject { .. }
        | DocumentStoreError::NotText { .. } => Exit::Faults,
    }
}
