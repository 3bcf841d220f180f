//! The JSON messages of the upstream stand-in.

use almondhead_macros::message;
use serde_json::Value;

/// The part of a task's input that the stand-in interprets.
#[message]
#[serde(default)]
pub(crate) struct TaskInput {
    /// How long the task runs, in milliseconds.
    pub(crate) run_ms: u64,
    /// Identifies the task in the record of starts independently of its id; may be empty.
    pub(crate) marker: String,
}

impl Default for TaskInput {
    fn default() -> Self {
        Self {
            run_ms: 1,
            marker: String::new(),
        }
    }
}

/// The body of a task's answer.
#[message]
pub(crate) struct TaskAnswer {
    /// The task's id.
    pub(crate) task_id: String,
    /// The task's input, as JSON if it is valid JSON and as a string otherwise.
    pub(crate) echo: Value,
}

/// The body of a request that stops tasks.
#[message]
pub struct StopRequest {
    /// The ids of the tasks; those that are not running are ignored.
    pub task_ids: Vec<String>,
}

/// The record of one task.
#[message]
#[derive(Default)]
pub struct TaskStarts {
    /// The task's id.
    pub task_id: String,
    /// The marker in its input; empty if there is none.
    pub marker: String,
    /// How often it started.
    pub starts: u64,
    /// How often it ran to its end.
    pub finishes: u64,
    /// How often it was stopped while it ran.
    pub stops: u64,
    /// When it last started, in milliseconds since the Unix epoch.
    pub last_started_at_ms: u64,
    /// The `traceparent` header of its last request, if it had one.
    pub traceparent: Option<String>,
}

/// Counters of the stand-in's work and of the faults that took effect.
#[message]
#[derive(Default)]
pub struct UpstreamCounters {
    /// Requests to run a task, also refused ones.
    pub requests: u64,
    /// Tasks started.
    pub starts: u64,
    /// Starts of a task that had started before.
    pub repeated_starts: u64,
    /// Requests to stop tasks.
    pub stop_requests: u64,
    /// Tasks refused because all slots were taken.
    pub over_limit: u64,
    /// The maximum number of tasks running at a time.
    pub running_peak: u64,
    /// Tasks refused by the fault `refuse_all`.
    pub refused: u64,
    /// Tasks failed by the fault `fail_everything`.
    pub failed: u64,
    /// Answers lost by the fault `lose_answer`.
    pub lost_answers: u64,
    /// Answers cut off by the fault `cut_body`.
    pub cut_bodies: u64,
    /// Answers with another task's id by the fault `wrong_task_id`.
    pub wrong_task_ids: u64,
    /// Starts delayed by the fault `start_delay_ms`.
    pub late_starts: u64,
    /// Answers delayed by the fault `delay_ms`.
    pub delayed: u64,
    /// Tasks slowed down by the fault `slow_factor`.
    pub slowed: u64,
}

/// The record of every start.
#[message]
#[derive(Default)]
pub struct StartsReport {
    /// The record of each task, in the order of their first starts.
    pub tasks: Vec<TaskStarts>,
    /// The stand-in's counters.
    pub counters: UpstreamCounters,
}
