//! Revisions of the document as they stand in the platform's table and object store.

use almondhead_macros::message;

/// The platform's table that holds the head and the history.
pub const DOCUMENTS_TABLE: &str = "documents";

/// The key of the row that holds the head.
pub const HEAD_KEY: &str = "head";

/// The digits of a revision in a key, enough for every revision.
const REVISION_DIGITS: usize = 20;

/// What the head row says of one accepted document, JSON in the table.
#[message]
#[derive(Eq)]
pub struct Head {
    /// The revision; the first is 1, and each accepted document adds 1.
    pub revision: u64,
    /// The name of the object that holds the document's text.
    pub object: String,
    /// The token of this one submission, by which a lost answer is resolved.
    pub writer_token: String,
    /// Who submitted it.
    pub author: String,
    /// When it was submitted by the submitter's clock, in milliseconds since the Unix epoch.
    pub submitted_at_unix_ms: u64,
    /// What the submitter wrote about it.
    #[serde(default)]
    pub note: String,
}

/// The key of the row that keeps the head of a revision after newer ones were accepted.
pub fn history_key(revision: u64) -> String {
    format!("history/{revision:0REVISION_DIGITS$}")
}

/// The name of the object that holds the text of a submission.
pub fn object_name(revision: u64, writer_token: &str) -> String {
    format!("documents/{revision}-{writer_token}")
}
