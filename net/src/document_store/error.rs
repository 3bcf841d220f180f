//! Errors of the documents' store.

use almondhead_macros::key;
use derive_more::Display;
use derive_more::Error;

use crate::platform::PlatformError;

/// What was done with the documents' store.
#[key]
#[derive(Display)]
pub enum DocumentStoreStep {
    /// Reading the head.
    #[display("read the head")]
    ReadHead,
    /// Reading the head of an older revision.
    #[display("read the history")]
    ReadHistory,
    /// Keeping a head in the history.
    #[display("write the history")]
    WriteHistory,
    /// Fetching the text of a document.
    #[display("load the text")]
    LoadText,
    /// Storing the text of a document.
    #[display("store the text")]
    StoreText,
    /// Replacing the head.
    #[display("replace the head")]
    ReplaceHead,
}

/// A failed use of the documents' store.
#[derive(Debug, Display, Error)]
pub enum DocumentStoreError {
    /// The platform did not answer as needed; nothing was accepted.
    #[display("{step}: {source}")]
    Platform {
        /// What was done.
        step: DocumentStoreStep,
        /// What the platform client says, with the peer.
        source: PlatformError,
    },
    /// No answer tells whether the document was accepted.
    #[display("replace the head with token {writer_token}: may or may not be accepted: {source}")]
    Unknown {
        /// The token by which the submission is found in the head or the history.
        writer_token: String,
        /// The last error of the platform client, with the peer.
        source: PlatformError,
    },
    /// A row does not hold a head.
    #[display("{step}: the row {key} holds no head: {source}")]
    BadHead {
        /// What was done.
        step: DocumentStoreStep,
        /// The key of the row.
        key: String,
        /// Why the value is none.
        source: serde_json::Error,
    },
    /// The object of a head is not in the object store.
    #[display("load the text: there is no object {object}")]
    MissingObject {
        /// The name of the object.
        object: String,
    },
    /// The object of a head is not UTF-8 text.
    #[display("load the text: the object {object} is not text: {source}")]
    NotText {
        /// The name of the object.
        object: String,
        /// Where the text breaks off.
        source: std::str::Utf8Error,
    },
}

impl DocumentStoreError {
    /// Wraps an error of the platform client.
    pub(crate) fn platform(step: DocumentStoreStep) -> impl FnOnce(PlatformError) -> Self {
        move |source| Self::Platform { step, source }
    }
}
