//! A batch that was sent to an owner and has tasks that have not ended.

use super::run_id::HomeJobKey;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// Tasks of one job that an owner holds, as their home knows it.
#[derive(Debug)]
pub(crate) struct OpenBatch {
    pub(crate) job: HomeJobKey,
    /// The time of the owner's clock that the message named; none if it named none, and at an own owner.
    pub(crate) echo: Option<Timestamp>,
    /// The instance that had delegated the job when the batch was sent, as the owner was told.
    pub(crate) delegated_by: Option<Incarnation>,
    /// The tasks, by their index in the job, of which the owner has reported no end and which the home has not
    /// released.
    held_tasks: Vec<usize>,
}

impl OpenBatch {
    /// A batch that is being sent.
    pub(crate) fn new(job: HomeJobKey, tasks: Vec<usize>) -> Self {
        OpenBatch {
            job,
            echo: None,
            delegated_by: None,
            held_tasks: tasks,
        }
    }

    /// Records that the owner has reported how a task ended.
    pub(crate) fn record_end(&mut self, task: usize) {
        self.held_tasks.retain(|held| *held != task);
    }

    /// The number of tasks of which the owner has reported no end.
    pub(crate) fn task_count(&self) -> usize {
        self.held_tasks.len()
    }

    /// Whether the owner has reported the ends of all tasks.
    pub(crate) fn is_empty(&self) -> bool {
        self.held_tasks.is_empty()
    }

    /// Removes the tasks that the home no longer has placed here, and returns them.
    pub(crate) fn release(&mut self, is_placed: impl Fn(usize) -> bool) -> Vec<usize> {
        self.held_tasks
            .extract_if(.., |task| !is_placed(*task))
            .collect()
    }
}
