//! The decisions, the document and the messages of almondhead, without input or output.
//!
//! Time, randomness and input come in as values; output goes out as typed actions.

pub mod action;
mod authenticator;
pub mod check;
pub mod data_centre;
pub mod dispatcher;
pub mod document;
pub mod event;
pub mod id;
pub mod instance;
pub mod membership;
pub mod outcome;
pub mod peer_message;
pub mod policies;
pub mod service;
pub mod session_token;
pub mod submission;
pub mod target;
pub mod team;
pub mod time;
pub mod upstream;
