//! A document submission and its outcome.

use almondhead_lib::revision::Head;
use almondhead_lib::revision::object_name;
use almondhead_macros::value;

/// A validated document to submit.
#[value]
pub struct Submission {
    /// The text of the document.
    pub text: String,
    /// The revision that the document is based on: 0 for none, `None` for whichever is current.
    pub expected_revision: Option<u64>,
    /// A token unique to this submission.
    pub writer_token: String,
    /// The name of the submitter.
    pub author: String,
    /// The time of the submission in milliseconds since the Unix epoch.
    pub submitted_at_unix_ms: u64,
    /// The submitter's note about the change.
    pub note: String,
}

/// The outcome of a submission.
#[value]
pub enum SubmitOutcome {
    /// The document was accepted.
    Accepted {
        /// The head that the submission wrote.
        head: Head,
    },
    /// Another submission was accepted first; this one changed nothing.
    Conflict {
        /// The current head; `None` if a revision was expected but there is no head.
        winner: Option<Head>,
    },
}

impl Submission {
    /// Returns the head that this submission writes on top of `revision`.
    pub(crate) fn head_after(&self, revision: u64) -> Head {
        let revision = revision + 1;
        Head {
            revision,
            object: object_name(revision, &self.writer_token),
            writer_token: self.writer_token.clone(),
            author: self.author.clone(),
            submitted_at_unix_ms: self.submitted_at_unix_ms,
            note: self.note.clone(),
        }
    }
}
