//! Jobs in the order of a rank, equal ranks in order of arrival.

use std::collections::BTreeSet;

use almondhead_macros::key;
use slotmap::SecondaryMap;

use crate::keys::JobKey;

/// The place of a job: lower ranks first, then lower arrival numbers.
#[key]
pub(crate) struct Place {
    pub(crate) rank: u64,
    pub(crate) arrival: u64,
}

/// A set of jobs in order of their places, with logarithmic operations.
#[derive(Debug, Default)]
pub(crate) struct OrderedJobs {
    order: BTreeSet<(Place, JobKey)>,
    places: SecondaryMap<JobKey, Place>,
    arrivals: u64,
}

impl OrderedJobs {
    /// Adds a job at the end of those of equal rank; a job already held moves there.
    pub(crate) fn insert(&mut self, job: JobKey, rank: u64) {
        self.remove(job);
        self.arrivals += 1;
        let place = Place {
            rank,
            arrival: self.arrivals,
        };
        self.places.insert(job, place);
        self.order.insert((place, job));
    }

    /// Takes a job out.
    pub(crate) fn remove(&mut self, job: JobKey) {
        if let Some(place) = self.places.remove(job) {
            self.order.remove(&(place, job));
        }
    }

    /// The first of at most `limit` jobs that `fits`.
    pub(crate) fn first_fitting(
        &self,
        limit: usize,
        fits: &mut dyn FnMut(JobKey) -> bool,
    ) -> Option<JobKey> {
        self.order
            .iter()
            .take(limit)
            .map(|(_, job)| *job)
            .find(|job| fits(*job))
    }

    /// How many jobs are held.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}
