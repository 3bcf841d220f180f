//! The comparison of a document with the one in force.

use std::fmt;

use almondhead_lib::check::check_document;
use almondhead_lib::document::Document;
use almondhead_lib::document_diff::Change;
use almondhead_lib::document_diff::document_changes;
use almondhead_macros::message;
use almondhead_net::DocumentStore;
use almondhead_net::DocumentStoreError;

use crate::diff_command::write_changes;

/// What a document changes against the one in force.
#[message]
#[serde(tag = "result", rename_all = "snake_case")]
pub(crate) enum HeadComparison {
    /// The documents were compared.
    Compared {
        /// The revision in force.
        revision: u64,
        /// The changes from it.
        changes: Vec<Change>,
    },
    /// No document was accepted yet.
    NoDocument,
    /// The document in force could not be read.
    Failed {
        /// The failed step, the peer and the cause.
        reason: String,
    },
}

impl HeadComparison {
    /// Reads the document in force and compares it with `document`.
    pub(crate) async fn with_head(store: &DocumentStore, document: &Document) -> Self {
        let comparison = Self::try_with_head(store, document).await;
        comparison.unwrap_or_else(|error| Self::Failed {
            reason: error.to_string(),
        })
    }

    async fn try_with_head(
        store: &DocumentStore,
        document: &Document,
    ) -> Result<Self, DocumentStoreError> {
        let Some(head) = store.head().await? else {
            return Ok(Self::NoDocument);
        };
        let revision = head.revision;
        let text = store.load(&head).await?;
        Ok(match check_document(&text) {
            Ok(in_force) => Self::Compared {
                revision,
                changes: document_changes(&in_force, document),
            },
            Err(problems) => Self::Failed {
                reason: format!("check revision {revision}: {}", problems[0]),
            },
        })
    }
}

impl fmt::Display for HeadComparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Compared { revision, changes } if changes.is_empty() => {
                writeln!(formatter, "no difference from revision {revision} in force")
            }
            Self::Compared { revision, changes } => {
                writeln!(formatter, "changes against revision {revision} in force:")?;
                write_changes(formatter, changes)
            }
            Self::NoDocument => {
                writeln!(formatter, "no document is in force to be compared with")
            }
            Self::Failed { reason } => {
                writeln!(
                    formatter,
                    "not compared with the document in force: {reason}"
                )
            }
        }
    }
}
