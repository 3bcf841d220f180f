//! A submission of a document and its result.

use almondhead_lib::revision::Head;
use almondhead_lib::revision::object_name;
use almondhead_macros::value;

/// A document to be accepted, already checked.
#[value]
pub struct Submission {
    /// The text of the document.
    pub text: String,
    /// The revision that it was made from: 0 for none, absent for whichever is the head.
    pub expected_revision: Option<u64>,
    /// A token that no other submission ever carries.
    pub writer_token: String,
    /// Who submits it.
    pub author: String,
    /// When it is submitted, in milliseconds since the Unix epoch.
    pub submitted_at_unix_ms: u64,
    /// What the submitter writes about it.
    pub note: String,
}

/// What became of a submission.
#[value]
pub enum Submitted {
    /// It was accepted.
    Accepted {
        /// The head that it made.
        head: Head,
    },
    /// Another submission was accepted before; this one changed nothing.
    Raced {
        /// The head of now; absent where a revision was expected and there is none.
        winner: Option<Head>,
    },
}

impl Submission {
    /// The head that this submission makes after a revision.
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
