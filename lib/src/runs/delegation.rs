//! Delegation of new jobs to larger instances of the same data centre.
//!
//! Callers are spread evenly over instances whose processor capacities differ. An instance with less
//! than the mean capacity of its data centre passes a part of its new jobs on to larger ones, which
//! become their homes; it keeps only what it needs to answer the callers.

pub mod counts;
pub(crate) mod delegators;
pub(crate) mod dispatching;
pub(crate) mod held_jobs;
pub(crate) mod holding;
pub mod message;
pub mod report;
pub(crate) mod sent_jobs;
pub mod shares;
