//! A service of the document.

use almondhead_macros::document;

/// A kind of task that callers submit and upstreams run.
#[document]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The unique name.
    pub name: String,
    /// The path of the upstreams' HTTP resource that runs one task.
    pub path: String,
    /// The longest time that a caller may ask for, in milliseconds.
    pub max_deadline_ms: u32,
    /// The time that a job gets when its caller names none, in milliseconds.
    pub default_deadline_ms: u32,
    /// The most tasks that one job may hold.
    pub max_tasks_per_job: u32,
    /// The most bytes that one task's input may hold.
    pub max_input_bytes: u32,
    /// Whether an idempotent single request is tried again after an unknown end.
    #[serde(default)]
    pub retry_unknown: bool,
    /// Whether upstreams are spoken to by HTTP/2 with prior knowledge.
    #[serde(default)]
    pub http2: bool,
}
