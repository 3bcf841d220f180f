//! Errors of the document store.

use almondhead_macros::key;
use derive_more::Display;
use derive_more::Error;

use crate::platform::PlatformError;

/// A step of a call to the document store.
#[key]
#[derive(Display)]
pub enum DocumentStoreStep {
    /// Reading the head.
    #[display("read the head")]
    ReadHead,
    /// Reading the head of an older revision from its history row.
    #[display("read the history")]
    ReadHistory,
    /// Copying a head to its history row.
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

/// A failed call to the document store.
#[derive(Debug, Display, Error)]
pub enum DocumentStoreError {
    /// A call to the platform failed; no document was accepted.
    #[display("{step}: {source}")]
    Platform {
        /// The step that failed.
        step: DocumentStoreStep,
        /// The error of the platform client, which names the peer.
        source: PlatformError,
    },
    /// Whether the document was accepted could not be determined.
    #[display("replace the head with token {writer_token}: may or may not be accepted: {source}")]
    Unknown {
        /// The token that identifies the submission in the head or the history.
        writer_token: String,
        /// The last error of the platform client, which names the peer.
        source: PlatformError,
    },
    /// The value of a row does not decode as a head.
    #[display("{step}: decode the row {key}: {source}")]
    BadHead {
        /// The step that failed.
        step: DocumentStoreStep,
        /// The key of the row.
        key: String,
        /// The decoding error.
        source: serde_json::Error,
    },
    /// The object that a head names does not exist.
    #[display("load the text: there is no object {object}")]
    MissingObject {
        /// The name of the object.
        object: String,
    },
    /// The object that a head names is not UTF-8.
    #[display("load the text: the object {object} is not UTF-8: {source}")]
    NotText {
        /// The name of the object.
        object: String,
        /// The position of the first invalid byte.
        source: std::str::Utf8Error,
    },
}

impl DocumentStoreError {
    /// Returns a function that wraps an error of the platform client in `step`.
    pub(crate) fn platform(step: DocumentStoreStep) -> impl FnOnce(PlatformError) -> Self {
        move |source| Self::Platform { step, source }
    }
}
