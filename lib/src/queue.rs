//! The queue policy: the order in which queued jobs start their tasks.

use std::fmt::Debug;
use std::time::Duration;

use almondhead_macros::value;

use crate::fair_queue::FairQueue;
use crate::keys::JobKey;
use crate::keys::TeamKey;
use crate::ordered_queue::OrderedQueue;
use crate::policies::QueuePolicy;
use crate::time::Timestamp;

/// The maximum number of jobs that one call of [`JobQueue::next`] passes to `fits`.
pub const SCAN_LIMIT: usize = 32;

/// A job with tasks that have not started, as it is inserted into a queue.
#[value]
#[derive(Copy)]
pub struct QueueEntry {
    /// The key of the job.
    pub job: JobKey,
    /// The team that submitted it.
    pub team: TeamKey,
    /// The team's weight; its share of the service is relative to the other teams' weights.
    pub weight: u32,
    /// The number of the job's tasks that have not ended, including running ones.
    pub remaining: u32,
    /// When the job ends, even if some of its tasks have not.
    pub deadline: Timestamp,
}

/// The work that a new job competes with in the queue.
#[value]
#[derive(Copy)]
pub struct QueueBacklog {
    /// The remaining tasks of queued jobs that start before the new job.
    pub tasks_ahead: u32,
    /// The mean number of slots recently used by jobs that start before the new job, even when they
    /// arrive after it.
    pub overtaking_slots: u32,
}

/// Orders the jobs that have tasks to start.
///
/// A job is inserted when it is admitted, and removed when its last task starts.
pub trait JobQueue: Send + Debug {
    /// Adds a job that arrives at `now`; replaces the entry of a job that is already queued.
    fn insert(&mut self, now: Timestamp, entry: QueueEntry);

    /// Sets the number of a queued job's tasks that have not ended; ignores an unknown job.
    fn update(&mut self, job: JobKey, remaining: u32);

    /// Removes a job; ignores an unknown job.
    fn remove(&mut self, job: JobKey);

    /// Returns the first job in order for which `fits` returns true; the job stays in the queue.
    ///
    /// Returns `None` after [`SCAN_LIMIT`] jobs that do not fit.
    fn next(&mut self, now: Timestamp, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey>;

    /// Charges `cost`, the estimated run time of a task that starts, to its team's share.
    ///
    /// Must be called for each start, after [`Self::next`] returned the task's job.
    fn charge(&mut self, team: TeamKey, weight: u32, cost: Duration);

    /// The backlog for a new job of `tasks` tasks, which its admission is based on.
    fn backlog(&mut self, now: Timestamp, tasks: u32) -> QueueBacklog;

    /// The number of queued jobs.
    fn job_count(&self) -> usize;
}

/// An empty queue with the policy that the document selects.
pub fn queue_for(policy: QueuePolicy) -> Box<dyn JobQueue> {
    match policy {
        QueuePolicy::FairFewestRemaining => Box::new(FairQueue::default()),
        QueuePolicy::Fifo => Box::new(OrderedQueue::fifo()),
        QueuePolicy::EarliestDeadline => Box::new(OrderedQueue::earliest_deadline()),
    }
}
