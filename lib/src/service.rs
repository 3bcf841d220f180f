//! The services of the document.

use almondhead_macros::document;

use crate::document_limits::MAX_DEADLINE_MS;
use crate::document_limits::MAX_INPUT_BYTES;
use crate::document_limits::MAX_NAME_CHARS;
use crate::document_limits::MAX_PATH_CHARS;
use crate::document_limits::MAX_TASKS_PER_JOB;

/// A kind of task that callers submit and upstreams run.
#[document]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The unique name.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub name: String,
    /// The path of the upstreams' HTTP resource that runs one task.
    #[schemars(length(min = 1, max = MAX_PATH_CHARS))]
    pub path: String,
    /// The longest time that a caller may ask for, in milliseconds.
    #[schemars(range(min = 1, max = MAX_DEADLINE_MS))]
    pub max_deadline_ms: u32,
    /// The time that a job gets when its caller names none, in milliseconds.
    #[schemars(range(min = 1, max = MAX_DEADLINE_MS))]
    pub default_deadline_ms: u32,
    /// The most tasks that one job may hold.
    #[schemars(range(min = 1, max = MAX_TASKS_PER_JOB))]
    pub max_tasks_per_job: u32,
    /// The most bytes that one task's input may hold.
    #[schemars(range(min = 1, max = MAX_INPUT_BYTES))]
    pub max_input_bytes: u32,
    /// Whether an idempotent single request is tried again after an unknown end.
    #[serde(default)]
    pub retry_unknown: bool,
    /// Whether upstreams are spoken to by HTTP/2 with prior knowledge.
    #[serde(default)]
    pub http2: bool,
}
