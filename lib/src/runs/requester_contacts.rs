//! How recent an instance's knowledge is of those that have it run something for them.

use std::time::Duration;

use indexmap::IndexMap;

use crate::id::Incarnation;
use crate::time::Timestamp;

/// The latest time, on this instance's clock, of which each requester is known to have wanted what it
/// had requested.
///
/// A requester is the home of tasks placed here or an instance that has delegated a job. A message
/// tells of the time up to which its sender had read its inputs, however late it arrives.
#[derive(Debug, Default)]
pub(crate) struct RequesterContacts {
    as_of: IndexMap<Incarnation, Timestamp>,
}

impl RequesterContacts {
    /// Records what a message of a requester tells of.
    pub(crate) fn record(&mut self, requester: Incarnation, as_of: Timestamp) {
        let latest = self.as_of.entry(requester).or_insert(as_of);
        *latest = as_of.max(*latest);
    }

    /// Forgets a requester that has ended.
    pub(crate) fn forget(&mut self, requester: Incarnation) {
        self.as_of.swap_remove(&requester);
    }

    /// How old the latest knowledge of a requester is; none when there is none.
    pub(crate) fn age(&self, now: Timestamp, requester: Incarnation) -> Option<Duration> {
        self.as_of.get(&requester).map(|as_of| now.since(*as_of))
    }
}
