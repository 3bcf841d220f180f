//! The errors of `almondctl`.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use almondhead_lib::document_edit::EditError;
use almondhead_net::DocumentStoreError;
use almondhead_net::PlatformError;
use derive_more::Display;
use derive_more::Error;

use crate::exit::Exit;
use crate::load_error::LoadError;

/// Why a command failed: the step, what it was done on, and the cause.
#[derive(Debug, Display, Error)]
pub(crate) enum CtlError {
    /// A file cannot be read.
    #[display("read {}: {source}", path.display())]
    ReadFile {
        /// The file.
        path: PathBuf,
        /// The cause.
        source: io::Error,
    },
    /// Standard output cannot be written.
    #[display("write the result to standard output: {source}")]
    WriteResult {
        /// The cause.
        source: io::Error,
    },
    /// The console cannot listen on its address.
    #[display("listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The cause.
        source: io::Error,
    },
    /// An edit of the console's draft failed.
    #[display("{source}")]
    EditDraft {
        /// The edit and the cause.
        source: EditError,
    },
    /// The command needs the platform, but `--platform` is absent.
    #[display("this command needs the platform: give its address with --platform IP:PORT")]
    NoPlatform,
    /// No document was accepted yet.
    #[display("read the head: no document was accepted yet")]
    NoDocument,
    /// The history has no such revision.
    #[display("read the history: there is no revision {revision}")]
    NoRevision {
        /// The revision.
        revision: u64,
    },
    /// An operation of the document store failed.
    #[display("{source}")]
    Store {
        /// The failed step, the peer and the cause.
        source: Box<DocumentStoreError>,
    },
    /// The platform's list of instances cannot be read.
    #[display("{source}")]
    ListInstances {
        /// The failed step, the peer and the cause.
        source: Box<PlatformError>,
    },
    /// An option of the load is invalid, no session could be opened, or the metrics could not be read.
    #[display("{source}")]
    Load {
        /// The failed step, the peer and the cause.
        source: LoadError,
    },
}

impl CtlError {
    /// Returns the exit code that reports this error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::ReadFile { .. } | Self::NoPlatform => Exit::Usage,
            Self::NoDocument | Self::NoRevision { .. } => Exit::Usage,
            Self::WriteResult { source } if source.kind() == io::ErrorKind::BrokenPipe => Exit::Ok,
            Self::WriteResult { .. } | Self::Listen { .. } => Exit::Usage,
            Self::EditDraft { .. } => Exit::Faults,
            Self::Store { source } => store_exit(source),
            Self::ListInstances { .. } => Exit::Unavailable,
            Self::Load { source } => match source {
                LoadError::InvalidOption { .. } => Exit::Usage,
                LoadError::OpenSession { .. } | LoadError::ReadMetrics { .. } => Exit::Unavailable,
            },
        }
    }
}

impl From<DocumentStoreError> for CtlError {
    fn from(source: DocumentStoreError) -> Self {
        let source = Box::new(source);
        Self::Store { source }
    }
}

impl From<EditError> for CtlError {
    fn from(source: EditError) -> Self {
        Self::EditDraft { source }
    }
}

impl From<PlatformError> for CtlError {
    fn from(source: PlatformError) -> Self {
        let source = Box::new(source);
        Self::ListInstances { source }
    }
}

impl From<LoadError> for CtlError {
    fn from(source: LoadError) -> Self {
        Self::Load { source }
    }
}

fn store_exit(error: &DocumentStoreError) -> Exit {
    match error {
        DocumentStoreError::Platform { .. } | DocumentStoreError::Unknown { .. } => {
            Exit::Unavailable
        }
        DocumentStoreError::BadHead { .. }
        | DocumentStoreError::MissingObject { .. }
        | DocumentStoreError::NotText { .. } => Exit::Faults,
    }
}
