//! The order in which queued jobs start their tasks, as a policy.

use std::fmt::Debug;
use std::time::Duration;

use almondhead_macros::value;

use crate::fair_queue::FairQueue;
use crate::keys::JobKey;
use crate::keys::TeamKey;
use crate::ordered_queue::OrderedQueue;
use crate::policies::QueuePolicy;
use crate::time::Timestamp;

/// The most jobs that one call of [`JobQueue::next`] offers to `fits`.
pub const SCAN_LIMIT: usize = 32;

/// A job with tasks that have not started.
#[value]
#[derive(Copy)]
pub struct QueueEntry {
    /// The job.
    pub job: JobKey,
    /// Its team.
    pub team: TeamKey,
    /// The team's share, relative to the other teams' weights.
    pub weight: u32,
    /// The tasks of the job that have not ended, running ones included.
    pub remaining: u32,
    /// When the job is over, whatever has run.
    pub deadline: Timestamp,
}

/// What a new job finds before it in the queue.
#[value]
#[derive(Copy)]
pub struct QueueBacklog {
    /// The remaining tasks of queued jobs that go before it.
    pub tasks_ahead: u32,
    /// The slots that jobs which pass it were served of late, queued ones and later arrivals.
    pub overtaking_slots: u32,
}

/// Orders the jobs that hold tasks to start.
///
/// A job is inserted when it is admitted, and removed with the start of its last task.
pub trait JobQueue: Send + Debug {
    /// Adds a job that arrived at `now`; a job already queued is replaced.
    fn insert(&mut self, now: Timestamp, entry: QueueEntry);

    /// Sets the tasks of a queued job that have not ended; an unknown job is ignored.
    fn update(&mut self, job: JobKey, remaining: u32);

    /// Takes a job out; an unknown job is ignored.
    fn remove(&mut self, job: JobKey);

    /// The first job in order that `fits`, without taking it out.
    ///
    /// After [`SCAN_LIMIT`] jobs that do not fit, the answer is none.
    fn next(&mut self, now: Timestamp, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey>;

    /// Counts `cost`, the estimated run time of a task that starts, against its team's share.
    ///
    /// To be called with each start, after [`Self::next`] gave the task's job.
    fn charge(&mut self, team: TeamKey, weight: u32, cost: Duration);

    /// What a new job of `tasks` tasks finds before it, for its admission.
    fn backlog(&mut self, now: Timestamp, tasks: u32) -> QueueBacklog;

    /// How many jobs are queued.
    fn job_count(&self) -> usize;
}

/// The queue that the document asks for.
pub fn queue_for(policy: QueuePolicy) -> Box<dyn JobQueue> {
    match policy {
        QueuePolicy::FairFewestRemaining => Box::new(FairQueue::default()),
        QueuePolicy::Fifo => Box::new(OrderedQueue::fifo()),
        QueuePolicy::EarliestDeadline => Box::new(OrderedQueue::earliest_deadline()),
    }
}
