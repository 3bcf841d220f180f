//! The decisions, the document and the messages of almondhead, without input or output.
//!
//! Time, randomness and input come in as values; output goes out as typed actions.

pub mod action;
pub mod admission;
pub mod check;
pub mod choice;
pub mod data_centre;
pub mod dispatcher;
pub mod document;
pub mod ejection_gate;
pub mod estimated_finish;
pub mod event;
pub mod fair_queue;
pub mod health;
pub mod id;
pub mod instance;
pub mod keys;
pub mod least_loaded;
pub mod membership;
mod ordered_jobs;
pub mod ordered_queue;
pub mod outcome;
pub mod overflow;
pub mod overflow_batched;
pub mod overflow_eager;
pub mod ownership;
pub mod peer_message;
pub mod policies;
pub mod power_of_two;
pub mod queue;
pub mod queue_length;
pub mod quota;
mod retry_after;
pub mod retry_budget;
pub mod round_robin;
pub mod run_estimate;
mod run_histogram;
mod running_mean;
pub mod service;
pub mod slow_weight;
pub mod submission;
pub mod target;
pub mod team;
mod team_share;
mod team_usage;
pub mod time;
pub mod upstream;
