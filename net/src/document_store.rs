//! The documents in the platform's table and object store.
//!
//! Accepting a document is one compare-and-set of the head row. The text is an object of its own
//! name, written before; a head is copied to the history before a newer one replaces it.

mod error;
mod store;
mod submission;

pub use error::DocumentStoreError;
pub use error::DocumentStoreStep;
pub use store::DocumentStore;
pub use submission::Submission;
pub use submission::Submitted;
