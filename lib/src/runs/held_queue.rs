//! The order in which held tasks start.

use almondhead_macros::key;

use crate::time::Timestamp;

/// What the order may go by.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedView {
    /// When the job is to end, in microseconds on this instance's clock.
    pub(crate) objective_at_us: i64,
    /// The expected run time of the task, in microseconds.
    pub(crate) expected_run_us: i64,
    /// When the task came.
    pub(crate) taken_at: Timestamp,
    /// The rank of the queue, zero first.
    pub(crate) priority: u32,
    /// Whether other tasks of the job run or have run.
    pub(crate) has_begun: bool,
}

/// A place in the order; the least starts first.
#[key]
pub(crate) struct QueueRank {
    class: u8,
    by_us: i64,
    priority: u32,
}

/// An order of tasks that wait.
pub(crate) trait HeldOrder: std::fmt::Debug + Send {
    /// The place of a task now.
    fn rank(&self, now: Timestamp, task: &QueuedView) -> QueueRank;
}

/// Tasks that can still meet their objective and those of jobs that have begun go first, the one
/// with the least slack at the head; the others follow in the order of their coming.
///
/// A job is answered only when its last task is done: leaving one of a job that has begun behind
/// others wastes what the job has run.
#[derive(Debug, Default)]
pub(crate) struct LeastSlack;

impl HeldOrder for LeastSlack {
    fn rank(&self, now: Timestamp, task: &QueuedView) -> QueueRank {
        let now_us = i64::try_from(now.as_us()).unwrap_or(i64::MAX);
        let start_by_us = task.objective_at_us.saturating_sub(task.expected_run_us);
        if task.has_begun || start_by_us >= now_us {
            return QueueRank {
                class: 0,
                by_us: start_by_us,
                priority: task.priority,
            };
        }
        QueueRank {
            class: 1,
            by_us: i64::try_from(task.taken_at.as_us()).unwrap_or(i64::MAX),
            priority: task.priority,
        }
    }
}
