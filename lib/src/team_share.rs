//! One team's part in a fair queue.

use crate::keys::JobKey;
use crate::ordered_jobs::OrderedJobs;
use crate::ordered_jobs::Place;
use crate::ordered_jobs::PlacedJob;
use crate::recent_service::RecentService;
use crate::size_class::SizeClass;

/// A team's queued jobs in two orders, and the service it had of late.
#[derive(Debug, Default)]
pub(crate) struct TeamShare {
    pub(crate) weight: u32,
    pub(crate) usage: RecentService,
    pub(crate) last_started: SizeClass,
    by_remaining: OrderedJobs,
    by_arrival: OrderedJobs,
    fewest: Option<PlacedJob>,
    oldest: Option<PlacedJob>,
}

impl TeamShare {
    /// Adds a job, whose rank is its remaining tasks.
    pub(crate) fn insert(&mut self, job: JobKey, place: Place) {
        let arrived = Place {
            rank: place.arrival,
            ..place
        };
        self.by_arrival.insert(job, arrived);
        self.oldest = self.by_arrival.first();
        self.update(job, place);
    }

    /// Moves a job in the order of remaining tasks.
    pub(crate) fn update(&mut self, job: JobKey, place: Place) {
        self.by_remaining.insert(job, place);
        self.fewest = self.by_remaining.first();
    }

    /// Takes a job out.
    pub(crate) fn remove(&mut self, job: JobKey) {
        self.by_remaining.remove(job);
        self.by_arrival.remove(job);
        self.fewest = self.by_remaining.first();
        self.oldest = self.by_arrival.first();
    }

    /// Notes that a task of `job` starts, whose cost is charged next.
    pub(crate) fn note_start(&mut self, job: JobKey) {
        if let Some(place) = self.by_remaining.place(job) {
            self.last_started = SizeClass::of(place.rank);
        }
    }

    /// Counts service to the job that started last.
    pub(crate) fn charge(&mut self, served_us: f64) {
        self.usage.add(self.last_started, served_us);
    }

    /// The job with the fewest remaining tasks.
    pub(crate) fn fewest(&self) -> Option<PlacedJob> {
        self.fewest
    }

    /// The job that arrived first.
    pub(crate) fn oldest(&self) -> Option<PlacedJob> {
        self.oldest
    }

    /// The job that comes after `placed` in the order of remaining tasks.
    pub(crate) fn after(&self, placed: PlacedJob) -> Option<PlacedJob> {
        self.by_remaining.after(placed)
    }
}
