//! Submitting a checked document, and telling what a race changed.

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
use almondhead_net::Submitted;

use crate::error::CtlError;

const TOKEN_BYTES: usize = 16;

/// A checked document to be submitted.
pub(crate) struct NewDocument {
    /// The text.
    pub(crate) text: String,
    /// The revision that it was made from; the newest one when absent.
    pub(crate) expected_revision: Option<u64>,
    /// What the submitter writes about it.
    pub(crate) note: String,
    /// Who submits it.
    pub(crate) author: String,
}

/// What became of a document that was submitted.
#[message]
#[serde(tag = "result", rename_all = "snake_case")]
pub(crate) enum SubmitReport {
    /// It is in force.
    Accepted {
        /// The head that it made.
        head: Head,
        /// What it changed; absent when its predecessor could not be compared.
        changes: Option<Vec<Change>>,
    },
    /// Another submission was accepted before.
    Raced {
        /// The revision that the document was made from.
        expected_revision: u64,
        /// The head of now.
        winner: Option<Head>,
        /// What changed since the expected revision; absent when it could not be compared.
        changes: Option<Vec<Change>>,
    },
}

/// Submits a document and compares what is in force with the revision that it was made from.
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
        Submitted::Accepted { head } => Some(head),
        Submitted::Raced { winner } => winner.as_ref(),
    };
    let changes = changes_since(store, expected_revision, newest).await;
    Ok(match submitted {
        Submitted::Accepted { head } => SubmitReport::Accepted { head, changes },
        Submitted::Raced { winner } => SubmitReport::Raced {
            expected_revision,
            winner,
            changes,
        },
    })
}

/// The name of the user who runs the program.
pub(crate) fn default_author() -> String {
    env::var("USER").unwrap_or_else(|_| "unknown".to_owned())
}

/// What changed from a revision to a head; none when either can't be had.
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

/// A token that no other run of the program draws.
pub(crate) fn random_token() -> String {
    let bytes: [u8; TOKEN_BYTES] = rand::random();
    let mut token = String::new();
    for byte in bytes {
        write!(token, "{byte:02x}").expect("writing to a string never fails");
    }
    token
}

fn now_unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed_ms = since_epoch.unwrap_or_default().as_millis();
    u64::try_from(elapsed_ms).unwrap_or(u64::MAX)
}
