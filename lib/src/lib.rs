//! The decisions, the document and the messages of almondhead, without input or output.
//!
//! Time, randomness and input come in as values; output goes out as typed actions.

pub mod action;
pub mod check;
mod check_cursor;
mod check_names;
mod check_report;
mod check_shape;
mod check_values;
pub mod data_centre;
pub mod dispatcher;
pub mod document;
pub mod document_limits;
pub mod event;
pub mod id;
pub mod instance;
pub mod membership;
pub mod outcome;
pub mod peer_message;
pub mod policies;
pub mod schema;
pub mod service;
pub mod submission;
pub mod target;
pub mod team;
pub mod time;
pub mod upstream;
