//! Jobs in the order of their sort_keys.

use std::collections::BTreeSet;
use std::ops::Bound;

use almondhead_macros::key;
use slotmap::SecondaryMap;

use crate::keys::JobKey;

/// The sort_key of a job: lower ranks first, then lower arrival numbers.
#[key]
pub(crate) struct SortKey {
    pub(crate) rank: u64,
    pub(crate) arrival: u64,
}

/// A job and its sort_key.
#[key]
pub(crate) struct OrderedJob {
    pub(crate) sort_key: SortKey,
    pub(crate) job: JobKey,
}

/// A set of jobs in order of their sort_keys, with logarithmic operations.
#[derive(Debug, Default)]
pub(crate) struct OrderedJobs {
    order: BTreeSet<OrderedJob>,
    sort_keys: SecondaryMap<JobKey, SortKey>,
}

impl OrderedJobs {
    /// Adds a job, or moves one already held.
    pub(crate) fn insert(&mut self, job: JobKey, sort_key: SortKey) {
        self.remove(job);
        self.sort_keys.insert(job, sort_key);
        self.order.insert(OrderedJob { sort_key, job });
    }

    /// Takes a job out.
    pub(crate) fn remove(&mut self, job: JobKey) {
        if let Some(sort_key) = self.sort_keys.remove(job) {
            self.order.remove(&OrderedJob { sort_key, job });
        }
    }

    /// The first job in order.
    pub(crate) fn first(&self) -> Option<OrderedJob> {
        self.order.first().copied()
    }

    /// The job that comes after `ordered`.
    pub(crate) fn after(&self, ordered: OrderedJob) -> Option<OrderedJob> {
        let rest = (Bound::Excluded(ordered), Bound::Unbounded);
        self.order.range(rest).next().copied()
    }

    /// The jobs in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = OrderedJob> {
        self.order.iter().copied()
    }

    /// The sort_key of a job.
    pub(crate) fn sort_key(&self, job: JobKey) -> Option<SortKey> {
        self.sort_keys.get(job).copied()
    }

    /// How many jobs are held.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}
