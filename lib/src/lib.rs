//! The decisions, the document and the messages of almondhead, without input or output.
//!
//! Time, randomness and input come in as values; output goes out as typed actions.

pub mod check;
pub mod data_centre;
pub mod document;
pub mod instance;
pub mod policies;
pub mod service;
pub mod team;
pub mod upstream;
