//! The ranking of queued tasks at an owner, by which they start.

use almondhead_macros::key;

use crate::time::Timestamp;

/// What the rank of a queued task may depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct QueuedTask {
    /// When the job is to end, in microseconds on this instance's clock.
    pub(crate) objective_at_us: i64,
    /// The expected run time of the task, in microseconds.
    pub(crate) expected_run_us: i64,
    /// When its batch was accepted.
    pub(crate) accepted_at: Timestamp,
    /// The rank of the queue, zero first.
    pub(crate) priority: u32,
    /// Whether other tasks of the job run or have run.
    pub(crate) has_begun: bool,
    /// The expected work of the task, in milliseconds of one core.
    pub(crate) core_ms: u64,
}

/// The rank of a queued task; tasks start in ascending order, compared field by field.
#[key]
pub(crate) struct QueueRank {
    /// Zero is served before one.
    class: u8,
    /// The work that orders tasks within the class before any time does, in milliseconds of one core.
    work: i64,
    /// The time that orders tasks within the class, in microseconds on this instance's clock.
    by_us: i64,
    priority: u32,
}

impl QueueRank {
    pub(crate) fn new(class: u8, work: i64, by_us: i64, priority: u32) -> Self {
        QueueRank {
            class,
            work,
            by_us,
            priority,
        }
    }
}

/// Ranks queued tasks.
pub(crate) trait QueueRanking: std::fmt::Debug + Send {
    /// The rank of a task at this time.
    fn rank(&self, now: Timestamp, task: &QueuedTask) -> QueueRank;
}

/// Ranks tasks that can still meet their objective and tasks of jobs that have begun first, by least
/// slack; the others follow in the order of their arrival.
///
/// A job is answered only when its last task is done, so that delaying a task of a job that has begun
/// wastes the work already done for it.
#[derive(Debug, Default)]
pub(crate) struct LeastSlack;

impl QueueRanking for LeastSlack {
    fn rank(&self, now: Timestamp, task: &QueuedTask) -> QueueRank {
        let now_us = i64::try_from(now.as_us()).unwrap_or(i64::MAX);
        let start_by_objective_us = task.objective_at_us.saturating_sub(task.expected_run_us);
        if task.has_begun || start_by_objective_us >= now_us {
            return QueueRank::new(0, 0, start_by_objective_us, task.priority);
        }
        let accepted_us = i64::try_from(task.accepted_at.as_us()).unwrap_or(i64::MAX);
        QueueRank::new(1, 0, accepted_us, task.priority)
    }
}
