//! How recent an instance's knowledge is of those that have it run something for them.

use std::time::Duration;

use indexmap::IndexMap;

use super::past_time::PastTime;
use super::peer_table::PEER_TIMEOUT;
use crate::id::Incarnation;
use crate::time::Timestamp;

/// How old the knowledge of a requester may be for anything of it to start or to go on.
pub(crate) const MAX_REQUESTER_AGE: Duration = PEER_TIMEOUT;

/// How old this instance's own inputs may be for the runs of its jobs to go on at its own upstreams.
///
/// Another instance may vouch for a job that is delegated to it for as long as both limits together.
pub(crate) const MAX_OPEN_INPUT_AGE: Duration = MAX_REQUESTER_AGE.saturating_mul(2);

/// The latest time, on this instance's clock, of which each requester is known to have wanted what it
/// had requested.
///
/// A requester is the home of tasks placed here, this instance's own included, or an instance that has
/// delegated a job. A message tells of the time up to which its sender had read its inputs, however
/// late it arrives.
#[derive(Debug, Default)]
pub(crate) struct RequesterContacts {
    as_of: IndexMap<Incarnation, PastTime>,
    /// The latest such time by a report, which names all that a requester wants. Another message shows nothing
    /// of what was requested before it: the message that cancelled that may be lost.
    reported_as_of: IndexMap<Incarnation, PastTime>,
    /// The latest such time for the instances that have delegated jobs to a requester, by its last report.
    delegators: IndexMap<Incarnation, IndexMap<Incarnation, PastTime>>,
}

impl RequesterContacts {
    /// Records what a message of a requester tells of.
    pub(crate) fn record(&mut self, requester: Incarnation, as_of: PastTime) {
        let latest = self.as_of.entry(requester).or_insert(as_of);
        *latest = as_of.max(*latest);
    }

    /// Forgets a requester that has ended.
    pub(crate) fn forget(&mut self, requester: Incarnation) {
        self.as_of.swap_remove(&requester);
        self.reported_as_of.swap_remove(&requester);
        self.delegators.swap_remove(&requester);
    }

    /// The latest time of which a requester is known to have wanted what it had requested; none when there
    /// is none.
    pub(crate) fn as_of(&self, requester: Incarnation) -> Option<PastTime> {
        self.as_of.get(&requester).copied()
    }

    /// Records what a report of a requester tells of, which names all that it wants.
    pub(crate) fn record_report(&mut self, requester: Incarnation, as_of: PastTime) {
        self.record(requester, as_of);
        let latest = self.reported_as_of.entry(requester).or_insert(as_of);
        *latest = as_of.max(*latest);
    }

    /// Records what a requester's last report tells of the instances on which its jobs depend.
    pub(crate) fn record_delegators(
        &mut self,
        requester: Incarnation,
        delegators: IndexMap<Incarnation, PastTime>,
    ) {
        self.delegators.insert(requester, delegators);
    }

    /// The latest time of which a requester is reported to have wanted all that it had requested then; none
    /// without a report.
    pub(crate) fn reported_as_of(&self, requester: Incarnation) -> Option<PastTime> {
        self.reported_as_of.get(&requester).copied()
    }

    /// The latest time of which the callers of a requester's job are reported to have waited, if an instance
    /// has delegated that job to it: the requester itself for one that has callers of its own.
    pub(crate) fn callers_as_of(
        &self,
        requester: Incarnation,
        delegated_by: Incarnation,
    ) -> Option<PastTime> {
        let own = self.reported_as_of(requester)?;
        let delegators = self.delegators.get(&requester);
        let delegator = delegators.and_then(|delegators| delegators.get(&delegated_by));
        match delegator {
            Some(as_of) => Some(own.min(*as_of)),
            None => (delegated_by == requester).then_some(own),
        }
    }

    /// How old the latest knowledge of a requester is; none when there is none.
    pub(crate) fn age(&self, now: Timestamp, requester: Incarnation) -> Option<Duration> {
        self.as_of(requester).map(|as_of| as_of.age(now))
    }

    /// Whether the knowledge of a requester is recent enough for something of it to start or to go on.
    pub(crate) fn is_current(&self, now: Timestamp, requester: Incarnation) -> bool {
        self.age(now, requester)
            .is_some_and(|age| age < MAX_REQUESTER_AGE)
    }

    /// When the knowledge of a requester becomes too old, unless a message comes first.
    pub(crate) fn expires_at(&self, requester: Incarnation) -> Option<Timestamp> {
        self.as_of(requester)
            .map(|as_of| as_of.after(MAX_REQUESTER_AGE))
    }
}
