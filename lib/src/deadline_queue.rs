//! Jobs by the earliest deadline.

use std::time::Duration;

use crate::keys::JobKey;
use crate::keys::TeamKey;
use crate::ordered_jobs::OrderedJobs;
use crate::queue::JobQueue;
use crate::queue::QueueEntry;
use crate::queue::SCAN_LIMIT;
use crate::time::Timestamp;

/// Serves the job whose deadline comes first, whatever its team and size.
#[derive(Debug, Default)]
pub struct DeadlineQueue {
    jobs: OrderedJobs,
}

impl JobQueue for DeadlineQueue {
    fn insert(&mut self, _now: Timestamp, entry: QueueEntry) {
        self.jobs.insert(entry.job, entry.deadline.as_us());
    }

    fn update(&mut self, _job: JobKey, _remaining: u32) {}

    fn remove(&mut self, job: JobKey) {
        self.jobs.remove(job);
    }

    fn next(&mut self, _now: Timestamp, fits: &mut dyn FnMut(JobKey) -> bool) -> Option<JobKey> {
        self.jobs.first_fitting(SCAN_LIMIT, fits)
    }

    fn charge(&mut self, _team: TeamKey, _weight: u32, _cost: Duration) {}

    fn jobs(&self) -> usize {
        self.jobs.len()
    }
}
