//! The teams of the document.

use almondhead_macros::document;

use crate::document_limits::MAX_NAME_CHARS;
use crate::document_limits::MAX_OPEN_TASKS;
use crate::document_limits::MAX_TASKS_PER_SECOND;
use crate::document_limits::MAX_WEIGHT;

/// A group of callers with a share of the services and a quota.
#[document]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The unique name.
    #[schemars(length(min = 1, max = MAX_NAME_CHARS))]
    pub name: String,
    /// The share of a contended service, relative to the other teams' weights.
    #[schemars(range(min = 1, max = MAX_WEIGHT))]
    pub weight: u32,
    /// The most tasks that the team may have queued or running at one entry instance.
    #[schemars(range(min = 1, max = MAX_OPEN_TASKS))]
    pub max_open_tasks: u32,
    /// The most tasks a second that the team may submit over the whole site.
    #[schemars(range(min = 1, max = MAX_TASKS_PER_SECOND))]
    pub max_tasks_per_second: u32,
}
