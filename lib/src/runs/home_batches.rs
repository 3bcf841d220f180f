//! How a home releases what owners hold for its jobs.

use indexmap::IndexMap;

use super::home::Home;
use super::home::HomeOutput;
use super::home_job::HomeJob;
use super::home_task::HomeState;
use super::owner_choice::OwnerRef;
use super::run_id::HomeJobKey;
use super::run_message::Cancellation;
use super::run_message::CancelledTask;

impl Home {
    /// Cancels what owners hold of a job and the home no longer has placed there, all of it if the job has
    /// ended, and closes the batches of which nothing is left.
    ///
    /// An owner that has reported the end of a task does not hold it any more. The batches of an unreachable
    /// owner are closed already: the first heartbeat that reaches it tells it so.
    pub(crate) fn release_batches(&mut self, key: HomeJobKey) {
        let job = self.jobs.get(key);
        let mut cancellations: IndexMap<OwnerRef, Cancellation> = IndexMap::new();
        self.batches.retain(|(owner, number), batch| {
            if batch.job != key {
                return true;
            }
            let placed = HomeState::Placed {
                owner: *owner,
                batch: *number,
            };
            let is_placed = |task: usize| job.is_some_and(|job| job.tasks[task].state == placed);
            let released = batch.release(is_placed);
            if released.is_empty() {
                return !batch.is_empty();
            }
            log_released(job, *number, released.len());
            let cancellation = cancellations.entry(*owner).or_default();
            if batch.is_empty() {
                cancellation.batches.push(*number);
                return false;
            }
            let tasks = released.iter().filter_map(|task| job?.tasks.get(*task));
            cancellation.tasks.extend(tasks.map(|task| CancelledTask {
                batch: *number,
                step: task.step,
                index: task.index,
            }));
            true
        });
        for (owner, cancellation) in cancellations {
            self.outputs.push(HomeOutput::Cancel {
                owner,
                cancellation,
            });
        }
    }
}

fn log_released(job: Option<&HomeJob>, batch: u64, tasks: usize) {
    if let Some(job) = job {
        tracing::info!(job = %job.id, batch, tasks, "tasks that are placed no longer cancelled at their owner");
    }
}
