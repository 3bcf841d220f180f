//! JSON messages of the upstream stand-in.

use almondhead_macros::message;
use serde_json::Value;

/// The part of a task's input that the stand-in obeys.
#[message]
#[serde(default)]
pub(crate) struct TaskInput {
    /// How long the task runs, in milliseconds.
    pub(crate) run_ms: u64,
    /// What the record of starts tells the task by, whatever its id.
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
    /// The task's input, as JSON or else as a string.
    pub(crate) echo: Value,
}

/// The body of a call that stops tasks.
#[message]
pub struct StopRequest {
    /// The ids of the tasks; those not running are passed over.
    pub task_ids: Vec<String>,
}

/// What happened to one task.
#[message]
#[derive(Default)]
pub struct TaskStarts {
    /// The task's id.
    pub task_id: String,
    /// The marker in its input, or nothing.
    pub marker: String,
    /// How often it started.
    pub starts: u64,
    /// How often it ran to its end.
    pub finishes: u64,
    /// How often it was stopped while it ran.
    pub stops: u64,
    /// When it last started, in milliseconds since the Unix epoch.
    pub last_started_at_ms: u64,
    /// The trace context of its last request, if it had one.
    pub traceparent: Option<String>,
}

/// What the stand-in did, and each fault that really happened.
#[message]
#[derive(Default)]
pub struct UpstreamCounters {
    /// Requests to run a task.
    pub requests: u64,
    /// Tasks started.
    pub starts: u64,
    /// Starts of a task that had started before.
    pub repeated_starts: u64,
    /// Requests to stop tasks.
    pub stop_requests: u64,
    /// Tasks refused as all slots were taken.
    pub over_limit: u64,
    /// Most tasks running at a time.
    pub running_peak: u64,
    /// Tasks refused by the fault.
    pub refused: u64,
    /// Tasks failed by the fault.
    pub failed: u64,
    /// Answers lost by the fault.
    pub lost_answers: u64,
    /// Answers cut by the fault.
    pub cut_bodies: u64,
    /// Answers with another's id by the fault.
    pub wrong_task_ids: u64,
    /// Answers held back by the fault.
    pub delayed: u64,
    /// Tasks whose run time the fault changed.
    pub slowed: u64,
}

/// The record of every start.
#[message]
#[derive(Default)]
pub struct StartsReport {
    /// One entry a task, in the order of their first start.
    pub tasks: Vec<TaskStarts>,
    /// What the stand-in did in all.
    pub counters: UpstreamCounters,
}
