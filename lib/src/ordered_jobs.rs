//! Jobs in the order of their places.

use std::collections::BTreeSet;
use std::ops::Bound;

use almondhead_macros::key;
use slotmap::SecondaryMap;

use crate::keys::JobKey;

/// The place of a job: lower ranks first, then lower arrival numbers.
#[key]
pub(crate) struct Place {
    pub(crate) rank: u64,
    pub(crate) arrival: u64,
}

/// A job and its place.
#[key]
pub(crate) struct PlacedJob {
    pub(crate) place: Place,
    pub(crate) job: JobKey,
}

/// A set of jobs in order of their places, with logarithmic operations.
#[derive(Debug, Default)]
pub(crate) struct OrderedJobs {
    order: BTreeSet<PlacedJob>,
    places: SecondaryMap<JobKey, Place>,
}

impl OrderedJobs {
    /// Adds a job, or moves one already held.
    pub(crate) fn insert(&mut self, job: JobKey, place: Place) {
        self.remove(job);
        self.places.insert(job, place);
        self.order.insert(PlacedJob { place, job });
    }

    /// Takes a job out.
    pub(crate) fn remove(&mut self, job: JobKey) {
        if let Some(place) = self.places.remove(job) {
            self.order.remove(&PlacedJob { place, job });
        }
    }

    /// The first job in order.
    pub(crate) fn first(&self) -> Option<PlacedJob> {
        self.order.first().copied()
    }

    /// The job that comes after `placed`.
    pub(crate) fn after(&self, placed: PlacedJob) -> Option<PlacedJob> {
        let rest = (Bound::Excluded(placed), Bound::Unbounded);
        self.order.range(rest).next().copied()
    }

    /// The jobs in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = PlacedJob> {
        self.order.iter().copied()
    }

    /// The place of a job.
    pub(crate) fn place(&self, job: JobKey) -> Option<Place> {
        self.places.get(job).copied()
    }

    /// How many jobs are held.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}
