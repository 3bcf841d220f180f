//! The queue policies that order jobs by arrival or deadline, regardless of team and size.

use std::time::Duration;

use crate::keys::JobKey;
use crate::keys::TeamKey;
use crate::ordered_jobs::OrderedJobs;
use crate::ordered_jobs::SortKey;
use crate::queue::JobQueue;
use crate::queue::QueueBacklog;
use crate::queue::QueueEntry;
use crate::queue::SCAN_LIMIT;
use crate::remaining_tasks::RemainingTasks;
use crate::size_class::SizeClass;
use crate::time::Timestamp;

/// What jobs are ordered by.
#[derive(Clone, Copy, Debug)]
enum Order {
    Arrival,
    Deadline,
}

/// Serves jobs in order of their arrival or of their deadlines.
#[derive(Debug)]
pub struct OrderedQueue {
    order: Order,
    jobs: OrderedJobs,
    remaining_tasks: RemainingTasks,
    arrivals: u64,
}

impl OrderedQueue {
    /// Creates an empty queue in order of arrival.
    pub fn fifo() -> Self {
        Self::new(Order::Arrival)
    }

    /// Creates an empty queue by earliest deadline; equal deadlines are in order of arrival.
    pub fn earliest_deadline() -> Self {
        Self::new(Order::Deadline)
    }

    fn new(order: Order) -> Self {
        OrderedQueue {
            order,
            jobs: OrderedJobs::default(),
            remaining_tasks: RemainingTasks::default(),
            arrivals: 0,
        }
    }
}

impl JobQueue for OrderedQueue {
    fn insert(&mut self, now: Timestamp, entry: QueueEntry) {
        let rank = match self.order {
            Order::Arrival => now,
            Order::Deadline => entry.deadline,
        };
        self.arrivals += 1;
        let sort_key = SortKey {
            rank: rank.as_us(),
            arrival: self.arrivals,
        };
        self.jobs.insert(entry.job, sort_key);
        self.remaining_tasks.set(entry.job, entry.remaining);
    }

    fn update(&mut self, job: JobKey, remaining: u32) {
        if self.remaining_tasks.contains(job) {
            self.remaining_tasks.set(job, remaining);
        }
    }

    fn remove(&mut self, job: JobKey) {
        self.jobs.remove(job);
        self.remaining_tasks.remove(job);
    }

    fn next(&mut self, _now: Timestamp, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey> {
        self.jobs
            .iter()
            .take(SCAN_LIMIT)
            .map(|ordered| ordered.job)
            .find(|job| fits(*job))
    }

    fn charge(&mut self, _team: TeamKey, _weight: u32, _cost: Duration) {}

    fn backlog(&mut self, _now: Timestamp, _tasks: u32) -> QueueBacklog {
        QueueBacklog {
            tasks_ahead: self.remaining_tasks.up_to(SizeClass::LAST),
            overtaking_slots: 0,
        }
    }

    fn job_count(&self) -> usize {
        self.jobs.len()
    }
}
