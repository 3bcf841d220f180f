//! The state of a task at its job's home.

use std::sync::Arc;
use std::time::Duration;

use super::owner_choice::OwnerRef;
use super::run_id::JobId;
use super::run_id::TaskName;
use crate::time::Timestamp;

/// How long after the last contact with its owner a run can still go on.
///
/// When the connection between two instances fails, each notices the other's silence after 600 ms
/// and up to one heartbeat of 150 ms; the last heartbeat may have arrived 150 ms later on the other
/// side. If the owner is cut off from the upstream too, it renews the lease for the last time then.
/// The lease lasts 1 s on a clock that may be 3 % slow.
pub(crate) const MAX_RUN_AFTER_CONTACT: Duration = Duration::from_millis(1_930);

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
    /// The upstream of its run, if its owner has reported that another one took the upstream over.
    pub(crate) taken_over_on: Option<Arc<str>>,
    /// The unreachable owner that may still run it.
    pub(crate) unreachable_owner: Option<UnreachableOwner>,
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
        /// The last time at which an owner that may hold a lease on it was reachable.
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

/// An owner that became unreachable while it held a run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct UnreachableOwner {
    /// The owner; none when there were several.
    owner: Option<OwnerRef>,
    /// The last contact with it, or the latest with any of several.
    since: Timestamp,
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
            taken_over_on: None,
            unreachable_owner: None,
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

    /// Records that an owner that may go on with the run became unreachable; `since` is the last
    /// contact with it.
    pub(crate) fn on_owner_unreachable(&mut self, owner: OwnerRef, since: Timestamp) {
        let earlier = self.unreachable_owner.take();
        let is_other = earlier.is_some_and(|unreachable| unreachable.owner != Some(owner));
        self.unreachable_owner = Some(UnreachableOwner {
            owner: (!is_other).then_some(owner),
            since: earlier.map_or(since, |unreachable| unreachable.since.max(since)),
        });
        self.taken_over_on = None;
    }

    /// Records that an owner that was unreachable reports the run again.
    pub(crate) fn on_owner_reachable(&mut self, owner: OwnerRef) {
        self.unreachable_owner
            .take_if(|unreachable| unreachable.owner == Some(owner));
    }

    /// The last contact with the unreachable owner that may go on with this run; none when no
    /// unreachable owner can hold a lease on it any more.
    pub(crate) fn may_run_unreachable_since(&self, now: Timestamp) -> Option<Timestamp> {
        let since = self.unreachable_owner?.since;
        (since + MAX_RUN_AFTER_CONTACT > now).then_some(since)
    }

    /// Whether its orphaned run can only be on this upstream.
    pub(crate) fn is_certainly_on(&self, now: Timestamp, upstream: &str) -> bool {
        matches!(self.state, HomeState::Orphaned { .. })
            && self.may_run_unreachable_since(now).is_none()
            && self.taken_over_on.as_deref() == Some(upstream)
    }

    /// Makes it wait for an owner again, with the next run number.
    pub(crate) fn retry(&mut self) {
        self.run_number += 1;
        self.state = HomeState::Waiting;
        self.taken_over_on = None;
        self.unreachable_owner = None;
    }
}
