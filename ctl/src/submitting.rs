//! Submission of a checked document, and the comparison of the revision in force with its base.

use std::env;
use std::fmt::Write;
use std::time::SystemTime;
use std::time::UNIX_EPOCH;

use almondhead_lib::check::check_document;
use almondhead_lib::document_diff::Change;
use almondhead_lib::document_diff::document_changes;
use almondhead_lib::revision::Head;
use almondhead_macros::message;
use almondhead_net::DocumentStore;
use almondhead_net::Submission;
use almondhead_net::SubmitOutcome;

use crate::error::CtlError;

const TOKEN_BYTES: usize = 16;

/// A checked document to be submitted.
pub(crate) struct NewDocument {
    /// The document as JSON with comments.
    pub(crate) text: String,
    /// The revision that the document was edited from; when absent, it replaces the newest one.
    pub(crate) expected_revision: Option<u64>,
    /// The submitter's note for the history.
    pub(crate) note: String,
    /// The submitter's name.
    pub(crate) author: String,
}

/// The result of a submission.
#[message]
#[serde(tag = "result", rename_all = "snake_case")]
pub(crate) enum SubmitReport {
    /// The document is in force.
    Accepted {
        /// The new head.
        head: Head,
        /// The changes from its base; absent when the base could not be loaded or checked.
        changes: Option<Vec<Change>>,
    },
    /// Another submission was accepted first, and the head was left unchanged.
    #[serde(rename = "raced")]
    Conflict {
        /// The revision that the document was edited from.
        expected_revision: u64,
        /// The head in force; absent when no document was accepted yet.
        winner: Option<Head>,
        /// The changes since the expected revision; absent when it could not be loaded or checked.
        changes: Option<Vec<Change>>,
    },
}

/// Submits a document by a compare-and-set of the head, and compares the document then in force
/// with the base.
pub(crate) async fn submit_document(
    store: &DocumentStore,
    document: NewDocument,
) -> Result<SubmitReport, CtlError> {
    let expected_revision = match document.expected_revision {
        Some(revision) => revision,
        None => store.head().await?.map_or(0, |head| head.revision),
    };
    let submission = Submission {
        text: document.text,
        expected_revision: Some(expected_revision),
        writer_token: random_token(),
        author: document.author,
        submitted_at_unix_ms: now_unix_ms(),
        note: document.note,
    };
    let submitted = store.submit(&submission).await?;
    let newest = match &submitted {
        SubmitOutcome::Accepted { head } => Some(head),
        SubmitOutcome::Conflict { winner } => winner.as_ref(),
    };
    let changes = changes_since(store, expected_revision, newest).await;
    Ok(match submitted {
        SubmitOutcome::Accepted { head } => SubmitReport::Accepted { head, changes },
        SubmitOutcome::Conflict { winner } => SubmitReport::Conflict {
            expected_revision,
            winner,
            changes,
        },
    })
}

/// Returns the name of the user who runs the program, from `USER`.
pub(crate) fn default_author() -> String {
    env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// Returns the changes from a revision to a head, or `None` when either can't be loaded or checked.
async fn changes_since(
    store: &DocumentStore,
    revision: u64,
    newest: Option<&Head>,
) -> Option<Vec<Change>> {
    let base = store.revision(revision).await.ok()??;
    let before = store.load(&base).await.ok()?;
    let after = store.load(newest?).await.ok()?;
    let before = check_document(&before).ok()?;
    let after = check_document(&after).ok()?;
    Some(document_changes(&before, &after))
}

/// Returns a random token of 128 bits in hexadecimal, unique to this submission or console.
pub(crate) fn random_token() -> String {
    let bytes: [u8; TOKEN_BYTES] = rand::random();
    let mut token = String::new();
    for byte in bytes {
        write!(token, "{byte:02x}").expect("writing to a string never fails");
    }
    token
}

/// The wall-clock time in milliseconds since the Unix epoch.
pub(crate) fn now_unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed_ms = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(elapsed_ms).unwrap_or(u64::MAX)
}
