//! A set of jobs ordered by their sort keys.

use std::collections::BTreeSet;
use std::ops::Bound;

use almondhead_macros::key;
use slotmap::SecondaryMap;

use crate::keys::JobKey;

/// The sort key of a job: lower ranks come first, then lower arrival numbers.
#[key]
pub(crate) struct SortKey {
    pub(crate) rank: u64,
    pub(crate) arrival: u64,
}

/// A job and its sort key.
#[key]
pub(crate) struct OrderedJob {
    pub(crate) sort_key: SortKey,
    pub(crate) job: JobKey,
}

/// A set of jobs ordered by their sort keys, with operations in logarithmic time.
#[derive(Debug, Default)]
pub(crate) struct OrderedJobs {
    order: BTreeSet<OrderedJob>,
    sort_keys: SecondaryMap<JobKey, SortKey>,
}

impl OrderedJobs {
    /// Adds a job, or changes the sort key of one already in the set.
    pub(crate) fn insert(&mut self, job: JobKey, sort_key: SortKey) {
        self.remove(job);
        self.sort_keys.insert(job, sort_key);
        self.order.insert(OrderedJob { sort_key, job });
    }

    /// Removes a job; ignores one that is not in the set.
    pub(crate) fn remove(&mut self, job: JobKey) {
        if let Some(sort_key) = self.sort_keys.remove(job) {
            self.order.remove(&OrderedJob { sort_key, job });
        }
    }

    /// The first job in order.
    pub(crate) fn first(&self) -> Option<OrderedJob> {
        self.order.first().copied()
    }

    /// The first job after `ordered`, which need not be in the set.
    pub(crate) fn after(&self, ordered: OrderedJob) -> Option<OrderedJob> {
        let rest = (Bound::Excluded(ordered), Bound::Unbounded);
        self.order.range(rest).next().copied()
    }

    /// The jobs in order.
    pub(crate) fn iter(&self) -> impl Iterator<Item = OrderedJob> {
        self.order.iter().copied()
    }

    /// The sort key of a job in the set.
    pub(crate) fn sort_key(&self, job: JobKey) -> Option<SortKey> {
        self.sort_keys.get(job).copied()
    }

    /// The number of jobs in the set.
    pub(crate) fn len(&self) -> usize {
        self.order.len()
    }
}
