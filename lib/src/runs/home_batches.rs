//! How a home follows what owners hold for its jobs, and releases it.

use indexmap::IndexMap;
use indexmap::IndexSet;

use super::home::Home;
use super::home::HomeOutput;
use super::home_job::HomeJob;
use super::home_task::HomeState;
use super::open_batch::OpenBatch;
use super::owner_choice::OwnerRef;
use super::run_id::HomeJobKey;
use super::run_message::Cancellation;
use super::run_message::CancelledTask;
use crate::time::Timestamp;

impl Home {
    /// Records that an owner has reported how a task of a batch ended.
    pub(crate) fn record_batch_end(&mut self, owner: OwnerRef, number: u64, task: usize) {
        for batches in [&mut self.batches, &mut self.suspended] {
            if let Some(batch) = batches.get_mut(&(owner, number)) {
                batch.record_end(task);
            }
        }
    }

    /// Opens the batches again that an owner holds which was unreachable, and forgets those that it has
    /// accepted and no longer holds. Returns the jobs of the former.
    ///
    /// The owner's heartbeat was sent at `sent_at` on its clock. The tasks that were not placed elsewhere
    /// meanwhile are to be placed there before [`Self::release_batches`].
    pub(crate) fn reopen_batches(
        &mut self,
        owner: OwnerRef,
        sent_at: Timestamp,
        held: &[u64],
        highest_taken: u64,
    ) -> IndexSet<HomeJobKey> {
        let is_held = |(at, number): &(OwnerRef, u64), _: &mut OpenBatch| {
            *at == owner && held.contains(number)
        };
        let reopened = self.suspended.extract_if(.., is_held);
        let reopened: Vec<((OwnerRef, u64), OpenBatch)> = reopened.collect();
        self.suspended
            .retain(|(at, number), _| *at != owner || *number > highest_taken);
        let mut jobs = IndexSet::new();
        for (name, mut batch) in reopened {
            // Heartbeats sent before this one may not name the batch yet.
            batch.echo = Some(sent_at);
            jobs.insert(batch.job);
            self.batches.insert(name, batch);
        }
        jobs
    }

    /// Cancels what owners hold of a job and the home no longer has placed there, all of it if the job has
    /// ended, and closes the batches of which nothing is left.
    ///
    /// An owner that has reported the end of a task does not hold it any more. What an unreachable owner holds
    /// is released once it is reachable again.
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
        if job.is_none() {
            self.suspended.retain(|_, batch| batch.job != key);
        }
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
        tracing::info!(job = %job.id, batch, tasks, "released tasks cancelled at their owner");
    }
}
