//! A team of the document.

use almondhead_macros::document;

/// A group of callers with a share of the services and a quota.
#[document]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The unique name.
    pub name: String,
    /// The share of a contended service, relative to the other teams' weights.
    pub weight: u32,
    /// The most tasks that the team may have queued or running at one entry instance.
    pub max_open_tasks: u32,
    /// The most tasks a second that the team may submit over the whole site.
    pub max_tasks_per_second: u32,
}
