//! Jobs in order of arrival.

use std::time::Duration;

use crate::keys::JobKey;
use crate::keys::TeamKey;
use crate::ordered_jobs::OrderedJobs;
use crate::queue::JobQueue;
use crate::queue::QueueEntry;
use crate::queue::SCAN_LIMIT;
use crate::time::Timestamp;

/// Serves jobs in order of arrival, whatever their team and size.
#[derive(Debug, Default)]
pub struct FifoQueue {
    jobs: OrderedJobs,
}

impl JobQueue for FifoQueue {
    fn insert(&mut self, now: Timestamp, entry: QueueEntry) {
        self.jobs.insert(entry.job, now.as_us());
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
