//! Errors of the program.

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
    /// The console cannot listen.
    #[display("listen at {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why not.
        source: io::Error,
    },
    /// The draft cannot be edited as asked.
    #[display("{source}")]
    Edit {
        /// What was to be edited.
        source: EditError,
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
    /// No load could be offered.
    #[display("{source}")]
    Load {
        /// Why not, with the step and the peer.
        source: LoadError,
    },
}

impl CtlError {
    /// The exit code of the error.
    pub(crate) fn exit(&self) -> Exit {
        match self {
            Self::ReadFile { .. } | Self::NoPlatform => Exit::Usage,
            Self::NoDocument | Self::NoRevision { .. } => Exit::Usage,
            Self::WriteResult { source } if source.kind() == io::ErrorKind::BrokenPipe => Exit::Ok,
            Self::WriteResult { .. } | Self::Listen { .. } => Exit::Usage,
            Self::Edit { .. } => Exit::Faults,
            Self::Store { source } => store_exit(source),
            Self::List { .. } => Exit::NotReached,
            Self::Load { source } => match source {
                LoadError::Option { .. } => Exit::Usage,
                LoadError::Session { .. } | LoadError::Metrics { .. } => Exit::NotReached,
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
        Self::Edit { source }
    }
}

impl From<PlatformError> for CtlError {
    fn from(source: PlatformError) -> Self {
        let source = Box::new(source);
        Self::List { source }
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
            Exit::NotReached
        }
        DocumentStoreError::BadHead { .. }
        | DocumentStoreError::MissingObject { .. }
        | DocumentStoreError::NotText { .. } => Exit::Faults,
    }
}
