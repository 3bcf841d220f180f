//! The instances on which the delegated jobs of a home depend, as the owners of their tasks have to know them.
//!
//! A home learns late that a delegating instance has ended. Leases are bounded by what the delegating
//! instance wanted, not by what the home still wants.

use std::time::Duration;

use indexmap::IndexMap;

use super::held_jobs::HeldJobs;
use super::report::Delegator;
use crate::id::Incarnation;
use crate::runs::home_job::HomeJob;
use crate::runs::owner_choice::OwnerRef;
use crate::runs::past_time::PastTime;
use crate::runs::run_dispatcher::RunDispatcher;
use crate::runs::run_message::RunBatch;

impl RunDispatcher {
    /// Names in a batch the instance on which its job depends now, if no caller waits for it here.
    pub(crate) fn name_delegator(&mut self, owner: OwnerRef, batch: &mut RunBatch) {
        let job = self.home.by_id.get(&batch.job);
        let job = job.map(|key| &self.home.jobs[*key]);
        batch.delegated_by = job.and_then(|job| self.delegator_of(job));
        if let Some(open) = self.home.batches.get_mut(&(owner, batch.number)) {
            open.delegated_by = batch.delegated_by.map(|delegator| delegator.incarnation);
        }
    }

    /// Names the delegating instance of a batch for an own upstream; returns the time of which the callers of
    /// its job are known to have waited.
    pub(crate) fn name_own_delegator(&mut self, batch: &mut RunBatch) -> Option<PastTime> {
        self.name_delegator(OwnerRef::Own, batch);
        let delegator = batch.delegated_by;
        let age = delegator.map_or(self.inputs.age(self.now), |delegator| delegator.age);
        Some(PastTime::before(self.now, age))
    }

    /// The instances on which the jobs of open batches depend, by the owner that holds these.
    ///
    /// An owner knows a batch by the instance that it was told. If the job has come to depend on another one
    /// since, that one's age counts.
    pub(crate) fn delegators_by_owner(&self) -> IndexMap<OwnerRef, Vec<Delegator>> {
        let own = self.settings.incarnation;
        let mut ages: IndexMap<OwnerRef, IndexMap<Incarnation, Duration>> = IndexMap::new();
        for ((owner, _), batch) in &self.home.batches {
            let Some(job) = self.home.jobs.get(batch.job) else {
                continue;
            };
            let now = self.delegator_of(job);
            if now.is_none() && batch.delegated_by.is_none() {
                continue;
            }
            let age = now.map_or(self.inputs.age(self.now), |delegator| delegator.age);
            let of_owner = ages.entry(*owner).or_default();
            let oldest = of_owner.entry(batch.delegated_by.unwrap_or(own));
            let oldest = oldest.or_default();
            *oldest = age.max(*oldest);
        }
        let delegators = ages.into_iter().map(|(owner, ages)| {
            let of_owner = ages.into_iter();
            let of_owner = of_owner.map(|(incarnation, age)| Delegator { incarnation, age });
            (owner, of_owner.collect())
        });
        delegators.collect()
    }

    /// Records what the instances are known to want on which the jobs depend that run at own upstreams.
    pub(crate) fn record_own_delegators(&mut self, delegators: &[Delegator]) {
        let as_of = delegators.iter().map(|delegator| {
            (
                delegator.incarnation,
                PastTime::before(self.now, delegator.age),
            )
        });
        let own = self.settings.incarnation;
        let contacts = &mut self.owner.requesters;
        contacts.record_delegators(own, as_of.collect());
    }

    /// The delegating instance that was last known to want a job; none if a caller waits for it here.
    fn delegator_of(&self, job: &HomeJob) -> Option<Delegator> {
        let mut waiters = job.waiters.iter();
        if !waiters.all(|request| HeldJobs::is_held(*request)) {
            return None;
        }
        let waiters = job.waiters.iter();
        let open = waiters.filter_map(|request| self.held_jobs.open_request(*request));
        let known = open.filter_map(|open| {
            let reported = self.owner.requesters.reported_as_of(open.sender);
            Some((reported.max(open.requested_as_of)?, open.sender))
        });
        let nothing_known = (PastTime::UNKNOWN, self.settings.incarnation);
        let (as_of, incarnation) = known.max().unwrap_or(nothing_known);
        let age = as_of.age(self.now);
        Some(Delegator { incarnation, age })
    }
}
