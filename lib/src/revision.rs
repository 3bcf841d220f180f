//! How revisions of the document are stored in the platform's table and object store.

use almondhead_macros::message;

/// The name of the platform's table that contains the head and the history.
pub const DOCUMENTS_TABLE: &str = "documents";

/// The key of the row that contains the head, the latest accepted revision.
pub const HEAD_KEY: &str = "head";

/// The number of digits of a zero-padded revision in a key; enough for every `u64`.
const REVISION_DIGITS: usize = 20;

/// The metadata of one accepted document, stored as JSON in the table.
#[message]
#[derive(Eq)]
pub struct Head {
    /// The revision; starts at 1 and increases by 1 with each accepted document.
    pub revision: u64,
    /// The name of the object that contains the document's text.
    pub object: String,
    /// A token unique to this submission, by which the writer resolves a lost answer.
    pub writer_token: String,
    /// The name of the submitter.
    pub author: String,
    /// The submission time by the submitter's clock, in milliseconds since the Unix epoch.
    pub submitted_at_unix_ms: u64,
    /// The submitter's comment; may be empty.
    #[serde(default)]
    pub note: String,
}

/// The key of the row that keeps the head of a revision after newer revisions are accepted.
pub fn history_key(revision: u64) -> String {
    format!("history/{revision:0REVISION_DIGITS$}")
}

/// The name of the object that contains the document's text of one submission.
pub fn object_name(revision: u64, writer_token: &str) -> String {
    format!("documents/{revision}-{writer_token}")
}
