//! How long the leases are that an owner orders.

use std::time::Duration;

use super::leased_upstream::Contact;
use super::leased_upstream::LeasedUpstream;
use super::owner::Owner;
use super::past_time::PastTime;
use super::run_id::HeldBatchKey;
use super::run_id::LeasedUpstreamKey;
use super::run_order::RunOrder;
use super::whole_ms::whole_ms;
use crate::time::Timestamp;

impl Owner {
    /// Whether the lease that an upstream has already ends in time for a run of this batch.
    pub(crate) fn has_short_lease(
        &self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        batch_key: HeldBatchKey,
    ) -> bool {
        let Some(wanted_as_of) = self.wanted_as_of(batch_key) else {
            return false;
        };
        let left = self.upstreams[upstream_key].lease_left(now);
        self.lease_bound.allows(now, wanted_as_of, left)
    }

    /// Extends the lease on an upstream as far as all of its runs allow, with a run of the batch `starting`
    /// beside them; returns its end on the upstream's clock, or none if it must not be extended.
    ///
    /// A lease on an upstream is one for all of its runs, and every order that extends one gets its end
    /// here.
    pub(crate) fn extend_lease(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        starting: Option<HeldBatchKey>,
    ) -> Option<u64> {
        let lease = self.lease_on(now, upstream_key, starting)?;
        self.upstreams[upstream_key].extend_lease(now, lease)
    }

    /// How long a lease on an upstream may last from now on; none while it must not be extended.
    fn lease_on(
        &self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        starting: Option<HeldBatchKey>,
    ) -> Option<Duration> {
        let upstream = self.upstreams.get(upstream_key)?;
        let starting = starting.map(|batch_key| self.wanted_as_of(batch_key));
        let wanted = self.wanted_times(upstream).chain(starting);
        // A run of which nothing is known comes before all others.
        let oldest = wanted.min()??;
        self.lease_bound.lease_at(now, oldest)
    }

    /// The latest time as of which the callers of a batch's job are known to have waited; none where nothing
    /// is known.
    pub(crate) fn wanted_as_of(&self, batch_key: HeldBatchKey) -> Option<PastTime> {
        let batch = self.batches.get(batch_key)?;
        let reported = self
            .requesters
            .callers_as_of(batch.home, batch.delegated_by);
        reported.max(batch.requested_as_of)
    }

    /// For each run that may be on an upstream, the latest time as of which its caller is known to have
    /// waited for it; none where nothing is known.
    fn wanted_times<'a>(
        &'a self,
        upstream: &'a LeasedUpstream,
    ) -> impl Iterator<Item = Option<PastTime>> + 'a {
        let ordered = upstream.runs.values().map(|run| match run.task {
            Some((batch_key, _)) => self.wanted_as_of(batch_key),
            None => run.dropped.and_then(|dropped| dropped.wanted_as_of),
        });
        // Their homes may have ended, however recently their last owner extended the lease.
        let unclaimed = upstream.unclaimed_runs.values().map(|_| None);
        ordered.chain(unclaimed)
    }

    /// Sends an order with a lease as soon as the runs are gone or claimed that kept the last renew order
    /// from extending it.
    pub(crate) fn extend_withheld_lease(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
    ) {
        let Some(upstream) = self.upstreams.get_mut(upstream_key) else {
            return;
        };
        let is_due = upstream.is_lease_withheld
            && upstream.unclaimed_runs.is_empty()
            && upstream.contact == Contact::Reachable;
        if !is_due {
            return;
        }
        upstream.is_lease_withheld = false;
        let lease_until_ms = self.extend_lease(now, upstream_key, None);
        self.send_probe(now, upstream_key, lease_until_ms);
    }

    /// Counts an order whose lease ends later than one of the runs on its upstream allows.
    pub(crate) fn check_ordered_lease(
        &mut self,
        now: Timestamp,
        upstream_key: LeasedUpstreamKey,
        order: &RunOrder,
    ) {
        let Some(lease_until_ms) = order.lease_until_ms() else {
            return;
        };
        let upstream = &self.upstreams[upstream_key];
        let left = upstream.time_until(now, lease_until_ms);
        let is_allowed = |as_of| self.lease_bound.allows(now, as_of, left);
        if self
            .wanted_times(upstream)
            .all(|as_of| as_of.is_some_and(is_allowed))
        {
            return;
        }
        let (id, left_ms) = (&upstream.listed.id, whole_ms(left));
        tracing::error!(upstream = %id, left_ms, "lease outlasts the pause of a run's caller");
        self.unbounded_leases += 1;
        debug_assert!(false, "a lease outlasts the pause of a run's caller");
    }
}
