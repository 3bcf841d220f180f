//! The core of almondhead: dispatch decisions, the document and the peer messages.
//!
//! It performs no I/O. Time, randomness and events are passed in as values, and whatever has to be
//! done is returned as typed actions.

// Listed in clippy.toml.
#![warn(clippy::disallowed_methods)]

mod accepting;
pub mod action;
pub mod admission;
mod authenticator;
mod batching;
pub mod check;
mod check_cursor;
mod check_names;
mod check_report;
mod check_shape;
mod check_values;
pub mod choice;
mod claiming;
pub mod data_centre;
pub mod dispatcher;
pub mod document;
pub mod document_diff;
pub mod document_edit;
pub mod document_limits;
pub mod document_lints;
pub mod ejection_gate;
mod ending;
pub mod estimated_finish;
pub mod event;
pub mod fair_queue;
mod forward_table;
mod forwarding;
mod gossip;
pub mod health;
pub mod id;
pub mod instance;
mod job;
mod key_table;
pub mod keys;
pub mod least_loaded;
mod lint_leaving;
mod lint_limits;
mod lint_report;
mod lint_unmatched;
pub mod membership;
pub mod message_counts;
mod ordered_jobs;
pub mod ordered_queue;
pub mod outcome;
pub mod overflow;
mod overflow_batch;
pub mod overflow_batched;
pub mod overflow_eager;
pub mod ownership;
pub mod peer_codec;
pub mod peer_envelope;
pub mod peer_greeting;
pub mod peer_message;
#[allow(clippy::all, missing_docs, unreachable_pub)]
#[rustfmt::skip]
pub mod peer_proto;
mod pending_claim;
pub mod policies;
pub mod power_of_two;
pub mod queue;
pub mod queue_length;
pub mod quota;
mod recent_service;
mod remaining_tasks;
pub mod replay_window;
mod retry_after;
pub mod retry_budget;
pub mod revision;
pub mod round_robin;
pub mod run_estimate;
mod run_histogram;
mod running_attempt;
mod running_mean;
pub mod runs;
mod scaling;
pub mod schema;
mod sent_batch;
pub mod service;
mod service_state;
mod session;
pub mod session_token;
mod sibling_table;
mod site_state;
mod size_class;
pub mod slow_weight;
mod starting;
pub mod submission;
mod submitting;
pub mod target;
pub mod team;
mod team_queue;
pub mod time;
pub mod timer;
pub mod upstream;
mod upstream_state;
