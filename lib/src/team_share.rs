//! One team's part in a fair queue.

use crate::keys::JobKey;
use crate::ordered_jobs::OrderedJobs;
use crate::ordered_jobs::Place;
use crate::ordered_jobs::PlacedJob;

/// A team's queued jobs in two orders, and the run time charged to it.
#[derive(Debug, Default)]
pub(crate) struct TeamShare {
    pub(crate) weight: u32,
    pub(crate) virtual_us: u64,
    by_remaining: OrderedJobs,
    by_arrival: OrderedJobs,
    fewest: Option<PlacedJob>,
    oldest: Option<PlacedJob>,
}

impl TeamShare {
    /// Adds a job; a team without jobs comes back no lower than `floor_us`.
    ///
    /// So a team gathers no claim on later service while it asks for none.
    pub(crate) fn insert(&mut self, job: JobKey, place: Place, floor_us: u64) {
        if !self.is_active() {
            self.virtual_us = self.virtual_us.max(floor_us);
        }
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

    /// Counts service against the team while it is within `limit_us`.
    ///
    /// Beyond that it was served because nothing of the others fitted, which is free.
    pub(crate) fn charge(&mut self, share_us: u64, limit_us: u64) {
        if self.virtual_us <= limit_us {
            self.virtual_us = self.virtual_us.saturating_add(share_us);
        }
    }

    /// Whether the team has queued jobs.
    pub(crate) fn is_active(&self) -> bool {
        self.fewest.is_some()
    }

    /// The job with the fewest remaining tasks.
    pub(crate) fn fewest(&self) -> Option<PlacedJob> {
        self.fewest
    }

    /// The job that arrived first.
    pub(crate) fn oldest(&self) -> Option<PlacedJob> {
        self.oldest
    }

    /// The jobs in the order of remaining tasks.
    pub(crate) fn jobs(&self) -> impl Iterator<Item = PlacedJob> {
        self.by_remaining.iter()
    }
}
