//! Dispatch of jobs whose tasks run on upstreams under leases.
//!
//! The home of a job is the instance that accepted it: it answers the caller and places the job's
//! tasks with owners. The owner of an upstream, one instance at a time, sends it the orders that
//! start and stop runs and renew their leases, and reports to the homes how runs ended.
//! [`run_dispatcher::RunDispatcher`] has both roles.

mod admitting;
mod assignment;
mod crash_evidence;
mod crash_register;
pub mod crash_report;
pub mod delegation;
mod dispatcher_messages;
mod dispatcher_outputs;
mod dispatcher_peers;
mod dispatcher_roster;
pub mod evacuation;
mod evacuation_updates;
pub mod event;
mod fact_origin;
mod found_run;
mod held_batch;
mod held_queue;
mod home;
mod home_answers;
mod home_ends;
mod home_job;
mod home_orphans;
mod home_task;
pub mod intended_state;
pub mod job_spec;
mod learned_speed;
mod leased_run;
mod leased_upstream;
pub mod listed_upstream;
mod listing_knowledge;
pub mod listing_relay;
mod listing_updates;
mod log_run_time;
mod neighbours;
pub mod overload;
mod owner;
mod owner_answers;
mod owner_batches;
mod owner_choice;
mod owner_contact;
mod owner_crashes;
mod owner_entries;
mod owner_evacuation;
mod owner_lone_runs;
mod owner_reports;
mod owner_reserve;
mod owner_speeds;
mod owner_starts;
mod pause_guard;
mod peer_table;
mod placing;
mod queue_suspension;
mod requesting;
pub mod resources;
pub mod roster;
mod roster_watch;
pub mod run_action;
pub mod run_answer;
pub mod run_counts;
pub mod run_digest;
pub mod run_dispatcher;
pub mod run_id;
pub mod run_message;
pub mod run_order;
pub mod run_settings;
pub mod run_status;
mod step_constraints;
mod step_mean;
pub mod upstream_choice;
pub mod upstream_clock;
mod upstream_listing;
mod whole_ms;
