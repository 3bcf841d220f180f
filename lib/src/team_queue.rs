//! The queued jobs of one team in a fair queue.

use crate::keys::JobKey;
use crate::ordered_jobs::OrderedJob;
use crate::ordered_jobs::OrderedJobs;
use crate::ordered_jobs::SortKey;
use crate::recent_service::RecentService;
use crate::size_class::SizeClass;

/// A team's queued jobs in two orders, and the service that the team received recently.
#[derive(Debug, Default)]
pub(crate) struct TeamQueue {
    pub(crate) weight: u32,
    pub(crate) recent_service: RecentService,
    pub(crate) last_started_class: SizeClass,
    by_remaining: OrderedJobs,
    by_arrival: OrderedJobs,
    fewest: Option<OrderedJob>,
    oldest: Option<OrderedJob>,
}

impl TeamQueue {
    /// Adds a job; the rank of its sort key is the number of its remaining tasks.
    pub(crate) fn insert(&mut self, job: JobKey, sort_key: SortKey) {
        let arrived = SortKey {
            rank: sort_key.arrival,
            ..sort_key
        };
        self.by_arrival.insert(job, arrived);
        self.oldest = self.by_arrival.first();
        self.update(job, sort_key);
    }

    /// Changes the sort key of a job in the order of remaining tasks.
    pub(crate) fn update(&mut self, job: JobKey, sort_key: SortKey) {
        self.by_remaining.insert(job, sort_key);
        self.fewest = self.by_remaining.first();
    }

    /// Removes a job; ignores an unknown job.
    pub(crate) fn remove(&mut self, job: JobKey) {
        self.by_remaining.remove(job);
        self.by_arrival.remove(job);
        self.fewest = self.by_remaining.first();
        self.oldest = self.by_arrival.first();
    }

    /// Records that a task of `job` starts; the next call of [`Self::charge`] is for it.
    pub(crate) fn record_start(&mut self, job: JobKey) {
        if let Some(sort_key) = self.by_remaining.sort_key(job) {
            self.last_started_class = SizeClass::of(sort_key.rank);
        }
    }

    /// Adds run time of the task that was last passed to [`Self::record_start`].
    pub(crate) fn charge(&mut self, served_us: f64) {
        self.recent_service.add(self.last_started_class, served_us);
    }

    /// The job with the fewest remaining tasks.
    pub(crate) fn fewest(&self) -> Option<OrderedJob> {
        self.fewest
    }

    /// The job that arrived first.
    pub(crate) fn oldest(&self) -> Option<OrderedJob> {
        self.oldest
    }

    /// The first job after `ordered` in the order of remaining tasks.
    pub(crate) fn after(&self, ordered: OrderedJob) -> Option<OrderedJob> {
        self.by_remaining.after(ordered)
    }
}
