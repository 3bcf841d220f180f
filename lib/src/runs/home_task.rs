//! The state of a task at its job's home.

use std::sync::Arc;
use std::time::Duration;

use super::owner_choice::OwnerRef;
use super::run_id::JobId;
use super::run_id::TaskName;
use super::unreachable_owners::UnreachableOwners;
use crate::time::Timestamp;

/// A task of a job, with its current run and where it is placed.
#[derive(Debug)]
pub(crate) struct HomeTask {
    pub(crate) step: u32,
    pub(crate) index: u32,
    /// The number of its current run, from one.
    pub(crate) run_number: u32,
    pub(crate) failures: u32,
    /// Its run time on an upstream of usual speed, if its progress has shown it.
    pub(crate) known_run_time: Option<Duration>,
    /// The run time that its progress on one upstream predicted and no other has confirmed.
    pub(crate) suspected_run_time: Option<Duration>,
    /// The upstreams where it failed, was lost or ran too slowly.
    pub(crate) avoid: Vec<Arc<str>>,
    /// Whether nothing else may run on its upstream, because it may crash it.
    pub(crate) is_alone: bool,
    pub(crate) state: HomeState,
    /// The upstream of its run, where known: named by the last owner that handed the run over, or the one on
    /// which the home has claimed the run since.
    pub(crate) upstream: Option<Arc<str>>,
    /// Whether its run was found by its owner, which may be unable to adopt it.
    pub(crate) is_claimed: bool,
    /// The unreachable owners that may still run it.
    pub(crate) unreachable_owners: UnreachableOwners,
}

/// The placement of a task, as its home knows it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum HomeState {
    /// A step that it depends on is not done.
    Blocked,
    /// It waits for an owner.
    Waiting,
    /// It was sent to an owner.
    Placed {
        /// The owner.
        owner: OwnerRef,
        /// The number of the batch.
        batch: u64,
    },
    /// Its run may go on, and no reachable owner reports it.
    Orphaned {
        /// The latest contact with any owner that may hold a lease on it.
        since: Timestamp,
        /// The unreachable owner and the batch's number, if a later report of that owner can still
        /// tell whether the run goes on.
        from: Option<(OwnerRef, u64)>,
    },
    /// Its owner had no free capacity for it before its job's objective passed. It is placed again
    /// if another task of the job runs.
    Overdue,
    /// It is done.
    Done,
}

impl HomeTask {
    /// A task that has not started, blocked until its step may start.
    pub(crate) fn new(step: u32, index: u32) -> Self {
        HomeTask {
            step,
            index,
            run_number: 1,
            failures: 0,
            known_run_time: None,
            suspected_run_time: None,
            avoid: Vec::new(),
            is_alone: false,
            state: HomeState::Blocked,
            upstream: None,
            is_claimed: false,
            unreachable_owners: UnreachableOwners::default(),
        }
    }

    /// Its name as a task of this job.
    pub(crate) fn name(&self, job: JobId) -> TaskName {
        TaskName {
            job,
            occurrence: 0,
            step: self.step,
            index: self.index,
        }
    }

    /// Records that no reachable owner reports its run any more, which one with the last contact at
    /// `contact_at` may go on with; `from` is as in [`HomeState::Orphaned`].
    ///
    /// The run counts from the latest contact with any owner that may hold a lease on it, which is returned:
    /// neither does an old contact date a run that a later owner had, nor the other way round.
    pub(crate) fn orphan(
        &mut self,
        now: Timestamp,
        contact_at: Timestamp,
        from: Option<(OwnerRef, u64)>,
    ) -> Timestamp {
        let unreachable_since = self.unreachable_owners.may_run_since(now);
        let since = unreachable_since.map_or(contact_at, |since| since.max(contact_at));
        self.state = HomeState::Orphaned { since, from };
        since
    }

    /// Records that an owner that may go on with the run became unreachable.
    pub(crate) fn on_owner_unreachable(
        &mut self,
        now: Timestamp,
        owner: OwnerRef,
        last_contact_at: Timestamp,
    ) {
        self.unreachable_owners.record(now, owner, last_contact_at);
        self.upstream = None;
    }

    /// Records that the process of an owner has ended.
    pub(crate) fn forget_owner_incarnation(&mut self, owner: OwnerRef) {
        self.unreachable_owners.detach(owner);
        if let HomeState::Orphaned { from, .. } = &mut self.state {
            from.take_if(|(at, _)| *at == owner);
        }
    }

    /// Records that the home has claimed its run from an owner that found it on an upstream.
    ///
    /// The unreachable owners stay: only an owner that has adopted the run proves where it is.
    pub(crate) fn claim(&mut self, upstream: Arc<str>) {
        self.upstream = Some(upstream);
        self.is_claimed = true;
    }

    /// The latest contact with whoever may go on with its run although its owner does not hold it; none if
    /// the run has ended.
    ///
    /// The owner of a claimed run may never have adopted it.
    pub(crate) fn may_run_elsewhere_since(&self, now: Timestamp) -> Option<Timestamp> {
        match self.is_claimed {
            true => Some(now),
            false => self.unreachable_owners.may_run_since(now),
        }
    }

    /// The only upstream on which its orphaned run can be, where that is certain.
    pub(crate) fn certain_upstream(&self, now: Timestamp) -> Option<&Arc<str>> {
        let is_orphaned = matches!(self.state, HomeState::Orphaned { .. });
        let is_certain = is_orphaned && self.unreachable_owners.may_run_since(now).is_none();
        self.upstream.as_ref().filter(|_| is_certain)
    }

    /// Makes it wait for an owner again, with the next run number.
    pub(crate) fn retry(&mut self) {
        self.run_number += 1;
        self.state = HomeState::Waiting;
        self.upstream = None;
        self.is_claimed = false;
        self.unreachable_owners = UnreachableOwners::default();
    }
}
