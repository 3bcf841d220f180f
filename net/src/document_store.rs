//! Stores documents in the platform's table and object store.
//!
//! A document is accepted by one compare-and-set of the head row. Its text is written first, as an
//! object under a name of its own, and the current head is copied to the history before a newer one
//! replaces it.

mod error;
mod store;
mod submission;

pub use error::DocumentStoreError;
pub use error::DocumentStoreStep;
pub use store::DocumentStore;
pub use submission::Submission;
pub use submission::SubmitOutcome;
