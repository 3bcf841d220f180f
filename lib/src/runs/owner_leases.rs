//! How long the leases are that an owner orders.

use std::time::Duration;

use super::owner::Owner;
use super::requester_contacts::MAX_OPEN_INPUT_AGE;
use super::run_id::LeasedUpstreamKey;
use crate::id::Incarnation;
use crate::time::Timestamp;

impl Owner {
    /// Whether the lease that an upstream has already ends in time for a run of this home.
    pub(crate) fn has_short_lease(
        &self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        home: Incarnation,
    ) -> bool {
        let Some(age) = self.requesters.age(now, home) else {
            return false;
        };
        let left = self.upstreams[upstream_key].lease_left(now);
        left.saturating_add(age) <= MAX_OPEN_INPUT_AGE
    }

    /// How long a lease on an upstream may last from now on, with a run of `starting` beside those that
    /// are there; none while the lease must not be extended.
    ///
    /// Every lease ends before a caller can come back of whom its home has not read that it has left:
    /// the owner may be frozen by then and unable to stop the run. A lease on an upstream is one for
    /// all of its runs.
    pub(crate) fn lease_on(
        &self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        starting: Option<Incarnation>,
    ) -> Option<Duration> {
        let runs = self.upstreams.get(upstream_key)?.runs.values();
        let batches = runs.filter_map(|run| self.batches.get(run.task?.0));
        let homes = batches.map(|batch| batch.home).chain(starting);
        let ages = homes.map(|home| self.requesters.age(now, home));
        let oldest = ages.map(|age| age.unwrap_or(MAX_OPEN_INPUT_AGE)).max()?;
        let left = MAX_OPEN_INPUT_AGE.saturating_sub(oldest);
        (!left.is_zero()).then(|| self.lease.min(left))
    }
}
