//! Placeholder.

pub mod peer;
pub mod peer_counters;
mod peer_link;
pub mod peer_memory;
pub mod peer_nng;
pub mod peer_queue;
